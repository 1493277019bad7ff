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
	// drainBound is the longest drain of a VM: the front end waits up to 10 s for its calls, and the appends
	// of the scheduler and of dispatch take up to 3 s and 1 s in an outage of the store.
	drainBound = 15 * time.Second
	// noticeBound is the time after the start of a drain in which a call gets an answer and no reset.
	noticeBound = 200 * time.Millisecond
	// lateBound is the time after its deadline at which a call has ended.
	lateBound = 50 * time.Millisecond
	// allSlots is the number of requests that the executors run at a time.
	allSlots = 3 * maxSlots
	// jobTimeout is the deadline that the front end gives to calls without one.
	jobTimeout = 10 * time.Second
)

func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// call is one HTTP call and what its caller was told.
type call struct {
	vm         *entryVM
	name       string
	job        bool
	repeatable bool
	timeout    time.Duration
	sent, done time.Time
	// steady is true if, when it was sent, nothing but drains had happened, the holder was not draining and a slot
	// of an executor was free.
	steady  bool
	err     error
	outcome failure.Outcome
	code    string
	body    string
	detail  string
}

// operator drives one case: it drains and replaces VMs, injects faults and starts callers.
type operator struct {
	d       *failureDomain
	faulty  bool
	faulted time.Time
	tickets []string
	calls   []*call
	results chan *call
	// open counts the calls in progress.
	open atomic.Int64
}

func (o *operator) step(p *choices) {
	d := o.d
	switch p.n(12) {
	case 0, 1:
		if len(d.serving) > 0 {
			d.drain(of(p, d.serving...))
		}
	case 2:
		if len(d.serving) < 3 {
			d.start()
		}
	case 3, 4:
		if o.faulty {
			o.fault(p)
		}
	case 5, 6:
		time.Sleep(time.Duration(of(p, 1, 20, 110, 310, 2500)) * time.Millisecond)
	case 7, 8:
		o.send(p, true)
	default:
		for range 1 + p.n(5) {
			rest := slices.Clone(*p)
			o.send(&rest, false)
		}
	}
	synctest.Wait()
}

func (o *operator) fault(p *choices) {
	if o.faulted.IsZero() {
		o.faulted = time.Now()
	}
	switch p.n(4) {
	case 0:
		_ = of(p, o.d.execs...).SetFaults(context.Background(), executor.Faults{
			Drop: p.n(3), Refuse: p.n(3), Fail: p.n(2), Truncate: p.n(2), Cross: 2 * p.n(2), Freeze: p.n(4) == 0,
			LateMS: int64(of(p, 0, 0, 50, 500)),
		})
	case 1:
		mode := storeMode(p.n(int(storeModes)))
		o.d.ground(func(g *ground) { g.setMode(mode) })
	case 2:
		o.d.depose(time.Duration(of(p, 1, 300, 1100)) * time.Millisecond)
	default:
		_ = of(p, o.d.execs...).Leave(context.Background())
	}
}

// send starts a caller at a VM, which may be shutting down or have ended.
func (o *operator) send(p *choices, job bool) {
	vm := of(p, o.d.all...)
	if p.n(3) > 0 && len(o.d.serving) > 0 {
		vm = of(p, o.d.serving...)
	}
	holder := o.d.holderNow()
	c := &call{
		vm: vm, job: job, name: fmt.Sprint("n", len(o.calls)), timeout: jobTimeout, sent: time.Now(),
		steady: o.faulted.IsZero() && o.open.Load() < allSlots && holder != nil && holder.drainAt.IsZero() && vm.drainAt.IsZero(),
	}
	path, body := "/v1/jobs", any(model.JobSpec{Account: "x", Tasks: 1, GPUsPerTask: 1, RunTime: time.Hour, Command: c.name})
	if !job {
		if len(o.tickets) == 0 || p.n(3) > 0 {
			o.tickets = append(o.tickets, o.take(vm)...)
		}
		if len(o.tickets) == 0 {
			return
		}
		i := len(o.tickets) - 1
		if p.n(6) == 0 {
			i = p.n(len(o.tickets))
		}
		c.name, c.repeatable = o.tickets[i], p.n(3) == 0
		o.tickets = slices.Delete(o.tickets, i, i+1)
		c.steady = c.steady && o.current(c.name)
		c.timeout = time.Duration(of(p, 700, 1500, 3000)) * time.Millisecond
		path, body = "/v1/requests", httpapi.SendBody{
			Ticket: c.name, Account: "x", Service: "s", Payload: []byte(c.name), Repeatable: c.repeatable, TimeoutMS: c.timeout.Milliseconds(),
		}
	}
	c.sent = time.Now()
	o.calls = append(o.calls, c)
	o.open.Add(1)
	go func() {
		c.perform(path, body)
		o.open.Add(-1)
		o.results <- c
	}()
}

// current reports whether the holder issued a ticket.
func (o *operator) current(text string) bool {
	ticket, err := model.ParseTicket(text)
	same := false
	o.d.ground(func(g *ground) { same = err == nil && ticket.Epoch == g.epoch })
	return same
}

// take returns a ticket, or none if the VM gives none at once.
func (o *operator) take(vm *entryVM) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	resp, err := post(ctx, vm, "/v1/tickets", httpapi.TicketsBody{Account: "x", Count: 1})
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

// perform makes the call and reads its whole answer.
func (c *call) perform(path string, body any) {
	defer func() { c.done = time.Now() }()
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
		var e httpapi.ErrorBody
		c.err = json.Unmarshal(text, &e)
		c.outcome, c.code, c.detail = e.Outcome, e.Code, e.Detail
		return
	}
	c.outcome = failure.Run
	if c.job {
		var j model.Job
		c.err = json.Unmarshal(text, &j)
		c.body = j.Spec.Command
		return
	}
	var r httpapi.RequestBody
	c.err = json.Unmarshal(text, &r)
	c.outcome, c.body = r.Outcome, string(r.Body)
}

// want returns the whole answer to a call.
func (c *call) want() string {
	if c.job {
		return c.name
	}
	return "s:" + c.name
}

// effects returns how often each request truly ran and how many jobs each submission confirmed in the log.
func (o *operator) effects() map[string]int {
	out := make(map[string]int)
	for _, e := range o.d.execs {
		h, err := e.History(context.Background())
		if err != nil {
			o.d.t.Fatal(err)
		}
		for _, r := range h.Runs {
			out[string(r.Request)]++
		}
	}
	jobs := make(map[model.JobID]bool)
	o.d.ground(func(g *ground) {
		for _, r := range g.log {
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

// verify compares what the callers were told with what truly happened.
func (o *operator) verify() error {
	for range o.calls {
		<-o.results
	}
	effects := o.effects()
	for _, c := range o.calls {
		if err := c.check(effects[c.name], o.faulted); err != nil {
			return fmt.Errorf("%w: %s through %s after %v (drain %v): %s %s %q %s %v", err, c.name, c.vm.id,
				c.done.Sub(c.sent), c.vm.drainAt.Sub(c.sent), c.outcome, c.code, c.body, c.detail, c.err)
		}
	}
	return o.checkDrains()
}

func (c *call) check(effects int, faulted time.Time) error {
	undisturbed := c.steady && (faulted.IsZero() || c.done.Before(faulted))
	interrupted := c.code == failure.Internal.Code() || c.code == failure.Draining.Code() && c.outcome != failure.NotRun
	switch late := c.done.Sub(c.sent) - c.timeout; {
	case late > lateBound:
		return fmt.Errorf("ended %v after its deadline", late)
	case c.err != nil && (c.vm.drainAt.IsZero() || c.sent.Before(c.vm.drainAt.Add(noticeBound))):
		return fmt.Errorf("cut off")
	case c.err != nil && effects > 0:
		return fmt.Errorf("took effect without an answer")
	case c.err != nil:
		return nil
	case interrupted:
		return fmt.Errorf("interrupted by a drain")
	case c.outcome == failure.NotRun && effects > 0:
		return fmt.Errorf("took effect but was reported as not run")
	case c.outcome == failure.Run && effects == 0:
		return fmt.Errorf("was reported as run without an effect")
	case c.outcome == failure.Run && c.code == "" && c.body != c.want():
		return fmt.Errorf("got another answer")
	case effects > 1 && !c.repeatable:
		return fmt.Errorf("ran %d times", effects)
	case undisturbed && (c.outcome != failure.Run || c.code != ""):
		return fmt.Errorf("was accepted before the drain and not answered")
	}
	return nil
}

// checkDrains guards against a VM that ends too late, or a service that ends with work in progress. The
// scheduler may give up its last records in an outage of the store.
func (o *operator) checkDrains() error {
	for _, vm := range o.d.all {
		if vm.drainAt.IsZero() {
			continue
		}
		end := <-vm.ended
		cut := slices.DeleteFunc(slices.Clone(vm.observe.cut), func(n kernel.Name) bool {
			return n == names.Scheduler && !o.faulted.IsZero()
		})
		if took := end.at.Sub(vm.drainAt); end.err != nil || took > drainBound || len(cut) > 0 {
			return fmt.Errorf("%s ended after %v: %v, cut off: %v", vm.id, took, end.err, cut)
		}
	}
	return nil
}

// heal ends all faults and leaves a VM that can answer.
func (o *operator) heal() {
	for _, e := range o.d.execs {
		_ = e.SetFaults(context.Background(), executor.Faults{})
	}
	time.Sleep(time.Minute)
	o.d.ground(func(g *ground) { g.setMode(storeUp) })
	time.Sleep(time.Minute)
}

// TestShutdownUnderFaults guards promise P8 against a drain that cuts off a call in progress, refuses one
// that takes effect, leaves a caller without an answer or does not end: VMs drain and are replaced while
// requests and jobs arrive, in half of the cases together with lost executors, outages of the store, lost
// answers and changes of the holder.
func TestShutdownUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		number := rapid.IntRange(0, 1<<16)
		faulty := rapid.Bool().Draw(r, "faulty")
		steps := rapid.SliceOfN(rapid.SliceOfN(number, 14, 14), 20, 60).Draw(r, "steps")
		var failed error
		outcomes := map[string]int{}
		synctest.Test(t, func(t *testing.T) {
			o := &operator{d: newDomain(t, 3), faulty: faulty, results: make(chan *call, len(steps))}
			time.Sleep(10 * time.Second)
			for _, step := range steps {
				o.step((*choices)(&step))
			}
			o.heal()
			failed = o.verify()
			for _, c := range o.calls {
				outcomes[strings.TrimSpace(fmt.Sprint(c.outcome, " ", c.code))]++
			}
			o.d.close()
		})
		if failed != nil {
			r.Fatal(failed, outcomes)
		}
	})
}
