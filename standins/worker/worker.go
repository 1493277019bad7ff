// Package worker is a small stand-in for a platform worker that runs tasks under leases. It records what
// truly ran and has faults that are switched at run time.
package worker

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Paths of the control of the stand-in.
const (
	// PathHistory returns the history; see HistoryRequest.
	PathHistory = "/standin/history"
	// PathFaults replaces the faults and returns them; an empty body only returns them.
	PathFaults = "/standin/faults"
)

// Faults are switched at run time. The zero value is a healthy worker.
type Faults struct {
	// FailTasks lets every task fail shortly after it starts to run.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// RefuseContact closes connections without executing anything.
	RefuseContact bool `json:"refuse_contact,omitempty"`
	// LoseAnswers executes exchanges and withholds the answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// IgnoreRenewals keeps the lease as it is, so that it lapses.
	IgnoreRenewals bool `json:"ignore_renewals,omitempty"`
	// StuckCheckpoints never completes a checkpoint.
	StuckCheckpoints bool `json:"stuck_checkpoints,omitempty"`
	// SlowMS delays the execution of each exchange, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LagMS delays the report of each state change, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// CheckpointMS is the duration of a checkpoint in milliseconds.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
}

type (
	exchange worker.Exchange
	report   worker.Report
	faults   struct{ set *Faults }
	leaseDue struct{ number uint64 }
	slowDue  struct {
		envelope kernel.Envelope
		exchange exchange
	}
)

// Kind implements kernel.Message.
func (exchange) Kind() string { return "worker_exchange" }

// Kind implements kernel.Message.
func (report) Kind() string { return "worker_report" }

// Kind implements kernel.Message.
func (faults) Kind() string { return "worker_faults" }

// Kind implements kernel.Message.
func (Faults) Kind() string { return "worker_faults_reply" }

// Kind implements kernel.Message.
func (leaseDue) Kind() string { return "worker_lease_due" }

// Kind implements kernel.Message.
func (slowDue) Kind() string { return "worker_slow_due" }

// State holds the tasks of one worker.
type State struct {
	started time.Time
	faults  Faults
	epoch   model.Epoch
	holder  model.VMID
	number  uint64
	tasks   map[model.TaskID]*task
	// records holds the record of each job with a task that has not ended.
	records map[model.JobID][]byte
	ended   []model.TaskID
	history []Entry
	first   int
	refused []RefusedExchange
	lapse   func()
	renewed uint64
}

// New returns an idle worker.
func New() *State {
	return &State{started: time.Now(), tasks: make(map[model.TaskID]*task), records: make(map[model.JobID][]byte)}
}

// Run serves the worker until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s,
		host.Route{Path: worker.PathExchange, Decode: decode, Encode: encode},
		host.JSON(PathHistory, func(r HistoryRequest) kernel.Message { return r }),
		host.JSON(PathFaults, func(f *Faults) kernel.Message { return faults{set: f} }))
}

func decode(h http.Header, body []byte) (kernel.Message, error) {
	x, err := worker.DecodeExchange(h, body)
	return exchange(x), err
}

func encode(w http.ResponseWriter, answer kernel.Message) {
	worker.WriteReport(w, worker.Report(answer.(report)))
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case exchange:
		s.receive(c, e, m)
	case slowDue:
		s.answer(c, m.envelope, m.exchange)
	case faults:
		if m.set != nil {
			s.faults = *m.set
		}
		e.Reply(s.faults)
	case HistoryRequest:
		e.Reply(s.entries(m))
	case leaseDue:
		if m.number == s.renewed {
			s.lapse = nil // No task runs without a lease, even if renewals are ignored.
			s.stopAll(c)
		}
	default:
		s.taskDue(c, e.Body)
	}
}

func (s *State) receive(c *kernel.Context, e kernel.Envelope, x exchange) {
	switch {
	case s.faults.RefuseContact:
		e.Fail(&host.AbortError{})
	case s.faults.SlowMS > 0:
		c.After(time.Duration(s.faults.SlowMS)*time.Millisecond, slowDue{envelope: e, exchange: x})
	default:
		s.answer(c, e, x)
	}
}

func (s *State) answer(c *kernel.Context, e kernel.Envelope, x exchange) {
	r := s.exchange(c, x)
	if s.faults.LoseAnswers {
		e.Fail(&host.AbortError{})
		return
	}
	e.Reply(r)
}

// exchange refuses a lower epoch, and the same epoch from another holder, which would be a second claim.
func (s *State) exchange(c *kernel.Context, x exchange) report {
	if x.Epoch.Less(s.epoch) || x.Epoch == s.epoch && x.Holder != s.holder {
		s.recordRefusal(x)
		return report{Epoch: s.epoch}
	}
	s.epoch, s.holder = x.Epoch, x.Holder
	s.renew(c, time.Duration(x.LeaseMS)*time.Millisecond)
	out := report{Accepted: true, Epoch: s.epoch, Full: x.Seen == 0 || x.Seen > s.number}
	for _, cmd := range x.Commands {
		if reason := s.execute(c, cmd); reason != "" {
			out.Refusals = append(out.Refusals, worker.Refusal{Task: cmd.Task, Op: cmd.Op, Reason: reason})
		}
	}
	for _, t := range s.tasks {
		if t.shown.State == "" || !out.Full && t.changed <= x.Seen {
			continue
		}
		out.Tasks = append(out.Tasks, t.shown)
	}
	slices.SortFunc(out.Tasks, func(a, b model.TaskStatus) int { return compareTasks(a.Task, b.Task) })
	if out.Full {
		s.addRecords(out.Tasks)
	}
	s.number++
	out.Number = s.number
	return out
}

// addRecords gives the record of each job to its first reported task that has not ended.
func (s *State) addRecords(tasks []model.TaskStatus) {
	given := make(map[model.JobID]bool)
	for i, t := range tasks {
		if !t.State.Final() && !given[t.Task.Job] {
			given[t.Task.Job] = true
			tasks[i].Record = s.records[t.Task.Job]
		}
	}
}

func compareTasks(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Index, b.Index))
}

func (s *State) renew(c *kernel.Context, lease time.Duration) {
	if lease <= 0 || s.faults.IgnoreRenewals && s.lapse != nil {
		return
	}
	s.renewed++
	if s.lapse != nil {
		s.lapse()
	}
	s.lapse = c.After(lease, leaseDue{number: s.renewed})
}

// LocalClient controls a stand-in that runs as a service of a kernel, without a network.
type LocalClient struct {
	caller kernel.Caller
	name   kernel.Name
}

// NewLocalClient returns a client of the stand-in that is registered under name.
func NewLocalClient(c kernel.Caller, name kernel.Name) *LocalClient {
	return &LocalClient{caller: c, name: name}
}

// Exchange implements the client of the worker protocol.
func (c *LocalClient) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	r, err := kernel.Call[report](ctx, c.caller, c.name, exchange(x))
	return worker.Report(r), err
}

// Close implements the client of the worker protocol.
func (*LocalClient) Close() {}

// SetFaults replaces the faults.
func (c *LocalClient) SetFaults(ctx context.Context, f Faults) error {
	_, err := c.caller.Call(ctx, c.name, faults{set: &f})
	return err
}

// History returns the entries from number after on.
func (c *LocalClient) History(ctx context.Context, after int) (History, error) {
	return kernel.Call[History](ctx, c.caller, c.name, HistoryRequest{After: after})
}
