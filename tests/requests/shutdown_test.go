package requests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

const (
	// maxDrainTime is the longest permitted drain of a VM. The front end waits up to 10 s for the calls in progress, and
	// the appends of the scheduler and of dispatch take up to 3 s and 1 s in a store outage.
	maxDrainTime = 15 * time.Second
	// drainNoticeTime is the time after the start of a drain in which a new call still gets a response instead of a
	// connection error.
	drainNoticeTime = 200 * time.Millisecond
	// deadlineTolerance is the time after its deadline by which a call must have ended.
	deadlineTolerance = 50 * time.Millisecond
	// totalSlots is the number of requests that all executors together run at a time.
	totalSlots = 3 * executorSlots
	// jobTimeout is the timeout that the front end applies to calls that set none.
	jobTimeout = 10 * time.Second
)

func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// call is an HTTP call and its result as reported to the caller.
type call struct {
	vm              *entryVM
	id              string
	isJob           bool
	repeatable      bool
	timeout         time.Duration
	sentAt, endedAt time.Time
	// undisturbedAtSend is true if nothing could prevent the success of the call when it was sent: no fault had been
	// injected, neither the VM nor the holder was draining, an executor had a free slot, and the holder had issued the
	// ticket.
	undisturbedAtSend bool
	err               error
	outcome           failure.Outcome
	code              string
	body              string
	detail            string
}

// shutdownScenario runs the steps of one case. It drains and replaces VMs, injects faults and makes calls.
type shutdownScenario struct {
	domain       *failureDomain
	injectFaults bool
	firstFaultAt time.Time
	tickets      []string
	calls        []*call
	results      chan *call
	inProgress   atomic.Int64
}

func (s *shutdownScenario) step(p *choices) {
	d := s.domain
	switch p.intn(12) {
	case 0, 1:
		if len(d.serving) > 0 {
			d.drain(pick(p, d.serving...))
		}
	case 2:
		if len(d.serving) < 3 {
			d.start()
		}
	case 3, 4:
		if s.injectFaults {
			s.injectFault(p)
		}
	case 5, 6:
		time.Sleep(time.Duration(pick(p, 1, 20, 110, 310, 2500)) * time.Millisecond)
	case 7, 8:
		s.send(p, true)
	default:
		for range 1 + p.intn(5) {
			callChoices := slices.Clone(*p)
			s.send(&callChoices, false)
		}
	}
	synctest.Wait()
}

func (s *shutdownScenario) injectFault(p *choices) {
	if s.firstFaultAt.IsZero() {
		s.firstFaultAt = time.Now()
	}
	switch p.intn(4) {
	case 0:
		_ = pick(p, s.domain.execs...).SetFaults(context.Background(), executor.Faults{
			DropAnswers: p.intn(3), RefuseCalls: p.intn(3), FailCalls: p.intn(2), TruncateAnswers: p.intn(2), SwapAnswers: 2 * p.intn(2), FreezeAnswers: p.intn(4) == 0,
			AnswerDelayMS: int64(pick(p, 0, 0, 50, 500)),
		})
	case 1:
		mode := storeMode(p.intn(int(storeModeCount)))
		s.domain.withState(func(state *domainState) { state.setMode(mode) })
	case 2:
		s.domain.replaceHolder(time.Duration(pick(p, 1, 300, 1100)) * time.Millisecond)
	default:
		_ = pick(p, s.domain.execs...).Leave(context.Background())
	}
}

// send makes a call to a VM, which may be draining or have ended.
func (s *shutdownScenario) send(p *choices, isJob bool) {
	vm := pick(p, s.domain.allVMs...)
	if p.intn(3) > 0 && len(s.domain.serving) > 0 {
		vm = pick(p, s.domain.serving...)
	}
	holder := s.domain.currentHolder()
	c := &call{
		vm: vm, isJob: isJob, id: fmt.Sprint("n", len(s.calls)), timeout: jobTimeout, sentAt: time.Now(),
		undisturbedAtSend: s.firstFaultAt.IsZero() && s.inProgress.Load() < totalSlots && holder != nil && holder.drainStart.IsZero() && vm.drainStart.IsZero(),
	}
	path, body := "/v1/jobs", any(model.JobSpec{Account: "x", Tasks: 1, GPUsPerTask: 1, RunTime: time.Hour, Command: c.id})
	if !isJob {
		if len(s.tickets) == 0 || p.intn(3) > 0 {
			s.tickets = append(s.tickets, s.fetchTickets(vm)...)
		}
		if len(s.tickets) == 0 {
			return
		}
		i := len(s.tickets) - 1
		if p.intn(6) == 0 {
			i = p.intn(len(s.tickets))
		}
		c.id, c.repeatable = s.tickets[i], p.intn(3) == 0
		s.tickets = slices.Delete(s.tickets, i, i+1)
		c.undisturbedAtSend = c.undisturbedAtSend && s.issuedByHolder(c.id)
		c.timeout = time.Duration(pick(p, 700, 1500, 3000)) * time.Millisecond
		path, body = "/v1/requests", httpapi.SendRequest{
			Ticket: c.id, Account: "x", Service: "s", Payload: []byte(c.id), Repeatable: c.repeatable, TimeoutMS: c.timeout.Milliseconds(),
		}
	}
	c.sentAt = time.Now()
	s.calls = append(s.calls, c)
	s.inProgress.Add(1)
	go func() {
		c.perform(path, body)
		s.inProgress.Add(-1)
		s.results <- c
	}()
}

// issuedByHolder reports whether a ticket was issued under the epoch of the current holder.
func (s *shutdownScenario) issuedByHolder(text string) bool {
	ticket, err := model.ParseTicket(text)
	issued := false
	s.domain.withState(func(state *domainState) { issued = err == nil && ticket.Epoch == state.epoch })
	return issued
}

// fetchTickets returns one ticket, or none if the VM does not issue one immediately.
func (s *shutdownScenario) fetchTickets(vm *entryVM) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	resp, err := post(ctx, vm, "/v1/tickets", httpapi.IssueTicketsRequest{Account: "x", Count: 1})
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out []string
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&out)
	}
	return out
}

func post(ctx context.Context, vm *entryVM, path string, body any) (*http.Response, error) {
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://vm"+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return vm.client.Do(req)
}

// perform makes the call and reads the whole response.
func (c *call) perform(path string, body any) {
	defer func() { c.endedAt = time.Now() }()
	resp, err := post(context.Background(), c.vm, path, body)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if c.err = err; err != nil {
		return
	}
	if resp.StatusCode != http.StatusOK {
		var e httpapi.ErrorResponse
		c.err = json.Unmarshal(text, &e)
		c.outcome, c.code, c.detail = e.Outcome, e.Code, e.Detail
		return
	}
	c.outcome = failure.Run
	if c.isJob {
		var j model.Job
		c.err = json.Unmarshal(text, &j)
		c.body = j.Spec.Command
		return
	}
	var r httpapi.RequestResult
	c.err = json.Unmarshal(text, &r)
	c.outcome, c.body = r.Outcome, string(r.Body)
}

// wantBody returns the expected value of body for a successful call.
func (c *call) wantBody() string {
	if c.isJob {
		return c.id
	}
	return "s:" + c.id
}

// countEffects returns the number of runs of each request in the history of the executors and the number of confirmed
// jobs of each submission in the log.
func (s *shutdownScenario) countEffects() map[string]int {
	out := make(map[string]int)
	for _, e := range s.domain.execs {
		h, err := e.History(context.Background())
		if err != nil {
			s.domain.t.Fatal(err)
		}
		for _, r := range h.Runs {
			out[string(r.Request)]++
		}
	}
	jobs := make(map[model.JobID]bool)
	s.domain.withState(func(state *domainState) {
		for _, r := range state.log {
			var j struct {
				Job       model.Job `json:"job"`
				Confirmed bool      `json:"confirmed"`
			}
			if r.Service == names.Scheduler && json.Unmarshal(r.Data, &j) == nil && j.Confirmed && !jobs[j.Job.ID] {
				jobs[j.Job.ID] = true
				out[j.Job.Spec.Command]++
			}
		}
	})
	return out
}

// verify compares the reported results with the actual effects and checks the drains.
func (s *shutdownScenario) verify() error {
	for range s.calls {
		<-s.results
	}
	effects := s.countEffects()
	for _, c := range s.calls {
		if err := c.check(effects[c.id], s.firstFaultAt); err != nil {
			return fmt.Errorf("%w: %s through %s after %v (drain %v): %s %s %q %s %v", err, c.id, c.vm.id,
				c.endedAt.Sub(c.sentAt), c.vm.drainStart.Sub(c.sentAt), c.outcome, c.code, c.body, c.detail, c.err)
		}
	}
	return s.checkDrains()
}

// check compares the reported result of a call with the number of its effects.
func (c *call) check(effects int, firstFaultAt time.Time) error {
	undisturbed := c.undisturbedAtSend && (firstFaultAt.IsZero() || c.endedAt.Before(firstFaultAt))
	interrupted := c.code == failure.Internal.Code() || c.code == failure.Draining.Code() && c.outcome != failure.NotRun
	switch late := c.endedAt.Sub(c.sentAt) - c.timeout; {
	case late > deadlineTolerance:
		return fmt.Errorf("ended %v after its deadline", late)
	case c.err != nil && (c.vm.drainStart.IsZero() || c.sentAt.Before(c.vm.drainStart.Add(drainNoticeTime))):
		return fmt.Errorf("aborted without a response")
	case c.err != nil && effects > 0:
		return fmt.Errorf("took effect without a response")
	case c.err != nil:
		return nil
	case interrupted:
		return fmt.Errorf("interrupted by a drain")
	case c.outcome == failure.NotRun && effects > 0:
		return fmt.Errorf("took effect but was reported as not run")
	case c.outcome == failure.Run && effects == 0:
		return fmt.Errorf("was reported as run without an effect")
	case c.outcome == failure.Run && c.code == "" && c.body != c.wantBody():
		return fmt.Errorf("got a wrong response body")
	case effects > 1 && !c.repeatable:
		return fmt.Errorf("ran %d times", effects)
	case undisturbed && (c.outcome != failure.Run || c.code != ""):
		return fmt.Errorf("was sent before the drain but did not succeed")
	}
	return nil
}

// checkDrains returns an error if a drained VM ended too late or with an error, or if a service ended with work in
// progress. After a fault, the scheduler may end with records that are not stored.
func (s *shutdownScenario) checkDrains() error {
	for _, vm := range s.domain.allVMs {
		if vm.drainStart.IsZero() {
			continue
		}
		exit := <-vm.exit
		incomplete := slices.DeleteFunc(slices.Clone(vm.observer.incomplete), func(n kernel.Name) bool {
			return n == names.Scheduler && !s.firstFaultAt.IsZero()
		})
		if duration := exit.at.Sub(vm.drainStart); exit.err != nil || duration > maxDrainTime || len(incomplete) > 0 {
			return fmt.Errorf("%s ended after %v: %v, incomplete drains: %v", vm.id, duration, exit.err, incomplete)
		}
	}
	return nil
}

// clearFaults ends all faults and waits until the calls in progress have ended. The executors recover before the store
// does.
func (s *shutdownScenario) clearFaults() {
	for _, e := range s.domain.execs {
		_ = e.SetFaults(context.Background(), executor.Faults{})
	}
	time.Sleep(time.Minute)
	s.domain.withState(func(state *domainState) { state.setMode(storeUp) })
	time.Sleep(time.Minute)
}

// TestShutdownUnderFaults guards against a drain that aborts a call in progress, refuses a call that takes effect,
// leaves a caller without a response or does not end (promise P8). VMs are drained and replaced while requests and jobs
// arrive; in half of the cases, executors are lost, the store is unavailable or loses replies, and the holder changes.
func TestShutdownUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		anyNumber := rapid.IntRange(0, 1<<16)
		injectFaults := rapid.Bool().Draw(r, "faulty")
		steps := rapid.SliceOfN(rapid.SliceOfN(anyNumber, 14, 14), 20, 60).Draw(r, "steps")
		var violation error
		outcomes := map[string]int{}
		synctest.Test(t, func(t *testing.T) {
			s := &shutdownScenario{domain: newFailureDomain(t, 3), injectFaults: injectFaults, results: make(chan *call, len(steps))}
			time.Sleep(10 * time.Second)
			for _, step := range steps {
				s.step((*choices)(&step))
			}
			s.clearFaults()
			violation = s.verify()
			for _, c := range s.calls {
				outcomes[strings.TrimSpace(fmt.Sprint(c.outcome, " ", c.code))]++
			}
			s.domain.close()
		})
		if violation != nil {
			r.Fatal(violation, outcomes)
		}
	})
}
