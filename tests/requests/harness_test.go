// Package requests tests the dispatch and executors services against executors that record what truly ran.
package requests

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	platform "github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/services/dispatch"
	"github.com/verbenaflow/verbenaflow/services/executors"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

// storeMode is how the fake store service treats an append.
type storeMode int

const (
	storeUp storeMode = iota
	storeDown
	storeSilent
	storeLosesAnswer
	storeModes
)

// fake stands for the store, peers and authority services. Its state belongs to its own goroutine.
type fake struct {
	mode    storeMode
	log     []message.LogRecord
	sealed  model.Epoch
	noPeers bool
	// forwards are the messages for other VMs. remote answers the attempts; nil means that no VM runs any.
	forwards []message.Forward
	remote   func(message.Forward) message.AttemptDone
}

// control runs on the goroutine of the fake.
type control struct{ f func(*kernel.Context, *fake) }

func (control) Kind() string { return "control" }

func (f *fake) Start(*kernel.Context) error { return nil }
func (f *fake) Drain(c *kernel.Context)     { c.Drained() }

func (f *fake) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case control:
		m.f(c, f)
		e.Reply(message.Done{})
	case message.LogAppend:
		f.append(e, m)
	}
}

func (f *fake) append(e kernel.Envelope, m message.LogAppend) {
	switch {
	case f.mode == storeDown:
		e.Fail(failure.New(failure.StoreUnavailable, "down"))
	case f.mode == storeSilent:
	case m.Epoch.Less(f.sealed):
		e.Fail(failure.New(failure.NotHolder, "sealed"))
	default:
		f.log = append(f.log, m.Records...)
		if f.mode == storeUp {
			e.Reply(message.LogAppended{})
		}
	}
}

// peer stands for the peers service with one other VM in the failure domain.
type peer struct {
	f *fake
}

func (p *peer) Start(*kernel.Context) error { return nil }
func (p *peer) Drain(c *kernel.Context)     { c.Drained() }

func (p *peer) Handle(c *kernel.Context, e kernel.Envelope) {
	m, ok := e.Body.(message.Forward)
	if !ok {
		return
	}
	switch m.Body.(type) {
	case message.IntentRecord:
		c.Request(names.Store, control{func(_ *kernel.Context, f *fake) { p.record(e, m, f) }}, func(kernel.Message, error) {})
	case message.IntentQuery:
		e.Reply(message.IntentReply{})
	default:
		c.Request(names.Store, control{func(_ *kernel.Context, f *fake) { p.attempt(e, m, f) }}, func(kernel.Message, error) {})
	}
}

func (p *peer) attempt(e kernel.Envelope, m message.Forward, f *fake) {
	f.forwards = append(f.forwards, m)
	if f.remote == nil {
		e.Fail(failure.New(failure.NoHolder, "no other failure domain"))
		return
	}
	e.Reply(f.remote(m))
}

func (p *peer) record(e kernel.Envelope, m message.Forward, f *fake) {
	f.forwards = append(f.forwards, m)
	if f.noPeers {
		e.Fail(failure.New(failure.HomeUnreachable, "partition"))
		return
	}
	e.Reply(message.Done{})
}

// cell is one VM with its executors in one kernel.
type cell struct {
	t     *testing.T
	k     *kernel.Kernel
	stop  context.CancelFunc
	done  chan error
	execs []*executor.Memory
	epoch model.Epoch
}

func newCell(t *testing.T, n int, took time.Duration) *cell {
	ctx, stop := context.WithCancel(context.Background())
	c := &cell{t: t, stop: stop, done: make(chan error, 1)}
	f := &fake{}
	byAddress := map[string]int{}
	var specs []kernel.Spec
	for i := range n {
		name := kernel.Name(fmt.Sprint("e", i))
		byAddress[string(name)] = i
		specs = append(specs, kernel.Spec{Name: name, Service: executor.New(8, took)})
	}
	dial := func(a string) platform.Client { return c.execs[byAddress[a]] }
	ex, di := executors.New(dial, nil).Spec(), dispatch.New("a", nil).Spec()
	for _, s := range specs {
		ex.After = append(ex.After, s.Name)
	}
	specs = append(specs, ex, di,
		kernel.Spec{Name: names.Store, Service: f}, kernel.Spec{Name: names.Authority, Service: &fake{}},
		kernel.Spec{Name: names.Peers, Service: &peer{f}})
	k, err := kernel.New(nil, specs...)
	if err != nil {
		t.Fatal(err)
	}
	c.k = k
	for i := range n {
		c.execs = append(c.execs, executor.NewMemory(k, kernel.Name(fmt.Sprint("e", i))))
	}
	go func() { c.done <- k.Run(ctx) }()
	<-k.Started()
	c.publish(c.members())
	c.takeover(true)
	return c
}

func (c *cell) members() message.MembersChanged {
	m := message.MembersChanged{Members: []model.Member{{VM: "v2", Domain: "a", Region: "r", Alive: true}}}
	for i := range c.execs {
		id := fmt.Sprint("e", i)
		m.Executors = append(m.Executors, model.VM{ID: id, Address: id, Region: "r", Role: model.RoleExecutor})
	}
	return m
}

func (c *cell) control(f func(*kernel.Context, *fake)) {
	if _, err := c.k.Call(context.Background(), names.Store, control{f}); err != nil {
		c.t.Fatal(err)
	}
	synctest.Wait()
}

func (c *cell) publish(m kernel.Message) {
	c.control(func(k *kernel.Context, _ *fake) { k.Publish(m) })
}

// takeover gives the VM a new epoch and replays the log.
func (c *cell) takeover(sealed bool) {
	c.epoch.Store++
	epoch := c.epoch
	c.control(func(k *kernel.Context, f *fake) {
		f.sealed = epoch
		k.Publish(message.AuthorityChanged{Holder: true, Epoch: epoch})
		replay := message.LogReplayed{Epoch: epoch, Sealed: sealed}
		if sealed {
			replay.Records = append(replay.Records, f.log...)
		}
		k.Publish(replay)
	})
}

func (c *cell) issue(n int) []model.Ticket {
	r, err := kernel.Call[message.TicketsReply](context.Background(), c.k, names.Dispatch, message.TicketIssue{Count: n})
	if err != nil {
		c.t.Fatal(err)
	}
	return r.Tickets
}

// result is what one caller was told.
type result struct {
	id      model.RequestID
	outcome failure.Outcome
	reason  failure.Reason
	body    string
}

func (c *cell) send(t *model.Ticket, key string, repeatable bool, timeout time.Duration) result {
	id := model.RequestID("key/x/" + key)
	if t != nil {
		id = model.RequestID(t.String())
	}
	req := model.Request{ID: id, Account: "x", Service: "s", Payload: []byte(id), Repeatable: repeatable, Deadline: time.Now().Add(timeout)}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := kernel.Call[message.RequestReply](ctx, c.k, names.Dispatch, message.RequestSend{Request: req, Ticket: t})
	if err != nil {
		if ctx.Err() != nil {
			return result{id: id, outcome: failure.Unknown, reason: failure.DeadlineExceeded}
		}
		f := failure.From(err)
		return result{id: id, outcome: f.Outcome, reason: f.Reason}
	}
	return result{id: id, outcome: r.Outcome, body: string(r.Body)}
}

func (c *cell) histories() []executor.History {
	var out []executor.History
	for _, e := range c.execs {
		h, err := e.History(context.Background())
		if err != nil {
			c.t.Fatal(err)
		}
		out = append(out, h)
	}
	return out
}

func (c *cell) close() {
	c.stop()
	if err := <-c.done; err != nil {
		c.t.Fatal(err)
	}
}
