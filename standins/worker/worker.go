// Package worker is a small stand-in for a platform worker that runs tasks under leases. It records what
// actually ran and injects faults, which can be changed at run time.
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

// Paths of the control interface.
const (
	// PathHistory returns the history; see HistoryRequest.
	PathHistory = "/standin/history"
	// PathFaults replaces all faults and returns them; an empty body only returns them.
	PathFaults = "/standin/faults"
)

// Faults are the faults that the worker injects. The zero value injects none.
type Faults struct {
	// FailTasks makes every task fail shortly after it starts to run.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// RefuseConnections closes connections without executing the exchange.
	RefuseConnections bool `json:"refuse_contact,omitempty"`
	// LoseAnswers executes exchanges and closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// IgnoreRenewals does not renew the lease, so that it expires.
	IgnoreRenewals bool `json:"ignore_renewals,omitempty"`
	// StuckCheckpoints prevents checkpoints from completing.
	StuckCheckpoints bool `json:"stuck_checkpoints,omitempty"`
	// ExchangeDelayMS delays the execution of each exchange by this number of milliseconds.
	ExchangeDelayMS int64 `json:"slow_ms,omitempty"`
	// ReportDelayMS delays the report of each state change by this number of milliseconds.
	ReportDelayMS int64 `json:"lag_ms,omitempty"`
	// CheckpointMS is the duration of a checkpoint in milliseconds.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
}

type (
	exchange worker.Exchange
	report   worker.Report
	// faultsRequest replaces the faults by set, unless it is nil, and returns them.
	faultsRequest struct{ set *Faults }
	leaseDue      struct{ renewal uint64 }
	slowDue       struct {
		envelope kernel.Envelope
		exchange exchange
	}
)

// Kind implements kernel.Message.
func (exchange) Kind() string { return "worker_exchange" }

// Kind implements kernel.Message.
func (report) Kind() string { return "worker_report" }

// Kind implements kernel.Message.
func (faultsRequest) Kind() string { return "worker_faults" }

// Kind implements kernel.Message.
func (Faults) Kind() string { return "worker_faults_reply" }

// Kind implements kernel.Message.
func (leaseDue) Kind() string { return "worker_lease_due" }

// Kind implements kernel.Message.
func (slowDue) Kind() string { return "worker_slow_due" }

// Worker is the service that holds the tasks of one worker.
type Worker struct {
	started time.Time
	faults  Faults
	// epoch and holder are those of the last accepted exchange.
	epoch  model.Epoch
	holder model.VMID
	// reportNumber is the number of the last report.
	reportNumber uint64
	tasks        map[model.TaskID]*task
	// records holds the record of each job with a task that has not ended.
	records map[model.JobID][]byte
	// ended lists the ended tasks that are still in tasks, oldest first.
	ended   []model.TaskID
	history []HistoryEntry
	// firstEntry is the number of the first entry in history.
	firstEntry int
	refused    []RefusedExchanges
	// cancelLeaseTimer is nil if there is no lease. renewals counts the starts and renewals of leases; an expiry of an
	// earlier one is ignored.
	cancelLeaseTimer func()
	renewals         uint64
}

// New returns an idle worker.
func New() *Worker {
	return &Worker{started: time.Now(), tasks: make(map[model.TaskID]*task), records: make(map[model.JobID][]byte)}
}

// Run serves the worker until ctx ends. It takes ownership of the listener.
func Run(ctx context.Context, l net.Listener, s *Worker) error {
	return host.Run(ctx, l, s,
		host.Route{Path: worker.PathExchange, Decode: decode, Encode: encode},
		host.JSONRoute(PathHistory, func(r HistoryRequest) kernel.Message { return r }),
		host.JSONRoute(PathFaults, func(f *Faults) kernel.Message { return faultsRequest{set: f} }))
}

func decode(h http.Header, body []byte) (kernel.Message, error) {
	x, err := worker.DecodeExchange(h, body)
	return exchange(x), err
}

func encode(w http.ResponseWriter, answer kernel.Message) {
	worker.WriteReport(w, worker.Report(answer.(report)))
}

// Start implements kernel.Service.
func (s *Worker) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Worker) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Worker) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case exchange:
		s.receive(c, e, m)
	case slowDue:
		s.respond(c, m.envelope, m.exchange)
	case faultsRequest:
		if m.set != nil {
			s.faults = *m.set
		}
		e.Reply(s.faults)
	case HistoryRequest:
		e.Reply(s.historyFrom(m))
	case leaseDue:
		if m.renewal == s.renewals {
			// The next exchange starts a lease even if renewals are ignored, so that no task runs without a lease.
			s.cancelLeaseTimer = nil
			s.stopAll(c)
		}
	default:
		s.handleTaskTimer(c, e.Body)
	}
}

// receive processes an exchange subject to the faults RefuseConnections and ExchangeDelayMS.
func (s *Worker) receive(c *kernel.Context, e kernel.Envelope, x exchange) {
	switch {
	case s.faults.RefuseConnections:
		e.Fail(&host.AbortError{})
	case s.faults.ExchangeDelayMS > 0:
		c.SendAfter(time.Duration(s.faults.ExchangeDelayMS)*time.Millisecond, slowDue{envelope: e, exchange: x})
	default:
		s.respond(c, e, x)
	}
}

func (s *Worker) respond(c *kernel.Context, e kernel.Envelope, x exchange) {
	r := s.handleExchange(c, x)
	if s.faults.LoseAnswers {
		e.Fail(&host.AbortError{})
		return
	}
	e.Reply(r)
}

// handleExchange executes the commands and returns a report. It refuses a lower epoch, and the same epoch from another
// holder, because an epoch has only one holder.
func (s *Worker) handleExchange(c *kernel.Context, x exchange) report {
	if x.Epoch.Less(s.epoch) || x.Epoch == s.epoch && x.Holder != s.holder {
		s.recordRefusal(x)
		return report{Epoch: s.epoch}
	}
	s.epoch, s.holder = x.Epoch, x.Holder
	s.renew(c, time.Duration(x.LeaseMS)*time.Millisecond)
	out := report{Accepted: true, Epoch: s.epoch, Full: x.SeenReport == 0 || x.SeenReport > s.reportNumber}
	for _, cmd := range x.Commands {
		if reason := s.execute(c, cmd); reason != "" {
			out.Refusals = append(out.Refusals, worker.Refusal{Task: cmd.Task, Op: cmd.Op, Reason: reason})
		}
	}
	for _, t := range s.tasks {
		if t.reported.State == "" || !out.Full && t.changedInReport <= x.SeenReport {
			continue
		}
		out.Tasks = append(out.Tasks, t.reported)
	}
	slices.SortFunc(out.Tasks, func(a, b model.TaskStatus) int { return compareTasks(a.Task, b.Task) })
	if out.Full {
		s.addRecords(out.Tasks)
	}
	s.reportNumber++
	out.Number = s.reportNumber
	return out
}

// addRecords adds the record of each job to its first reported task that has not ended.
func (s *Worker) addRecords(tasks []model.TaskStatus) {
	added := make(map[model.JobID]bool)
	for i, t := range tasks {
		if !t.State.Final() && !added[t.Task.Job] {
			added[t.Task.Job] = true
			tasks[i].Record = s.records[t.Task.Job]
		}
	}
}

func compareTasks(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Index, b.Index))
}

func (s *Worker) renew(c *kernel.Context, lease time.Duration) {
	if lease <= 0 || s.faults.IgnoreRenewals && s.cancelLeaseTimer != nil {
		return
	}
	s.renewals++
	if s.cancelLeaseTimer != nil {
		s.cancelLeaseTimer()
	}
	s.cancelLeaseTimer = c.SendAfter(lease, leaseDue{renewal: s.renewals})
}

// LocalClient is a client of a stand-in that runs as a service of a kernel in the same process.
type LocalClient struct {
	caller kernel.Caller
	name   kernel.Name
}

// NewLocalClient returns a client of the stand-in that runs as the service with the given name.
func NewLocalClient(c kernel.Caller, name kernel.Name) *LocalClient {
	return &LocalClient{caller: c, name: name}
}

// Exchange implements worker.Client.
func (c *LocalClient) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	r, err := kernel.Call[report](ctx, c.caller, c.name, exchange(x))
	return worker.Report(r), err
}

// Close implements worker.Client.
func (*LocalClient) Close() {}

// SetFaults replaces all faults.
func (c *LocalClient) SetFaults(ctx context.Context, f Faults) error {
	_, err := c.caller.Call(ctx, c.name, faultsRequest{set: &f})
	return err
}

// History returns the entries from number after on.
func (c *LocalClient) History(ctx context.Context, after int) (History, error) {
	return kernel.Call[History](ctx, c.caller, c.name, HistoryRequest{After: after})
}
