// Package requests tests the dispatch and executors services against stand-in executors that record which requests ran.
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

// storeMode is the behavior of the fake store service on an append: it succeeds, is refused, gets no reply and has no
// effect, or takes effect and gets no reply.
type storeMode int

const (
	storeUp storeMode = iota
	storeDown
	storeSilent
	storeLosesReply
	storeModeCount
)

// fakeService replaces the store service and, without any behavior, other services. Its state belongs to its goroutine.
type fakeService struct {
	storeMode        storeMode
	log              []message.LogRecord
	sealedEpoch      model.Epoch
	peersUnreachable bool
	// forwards holds the messages for other VMs. remoteAttempt returns the result of an attempt on another VM; if it is
	// nil, no other VM accepts attempts.
	forwards      []message.Forward
	remoteAttempt func(message.Forward) message.AttemptDone
}

// withFake runs fn on the goroutine of the fakeService.
type withFake struct {
	fn func(*kernel.Context, *fakeService)
}

func (withFake) Kind() string { return "with_fake" }

func (f *fakeService) Start(*kernel.Context) error { return nil }
func (f *fakeService) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (f *fakeService) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case withFake:
		m.fn(c, f)
		e.Reply(message.Done{})
	case message.LogAppend:
		f.append(e, m)
	}
}

func (f *fakeService) append(e kernel.Envelope, m message.LogAppend) {
	switch {
	case f.storeMode == storeDown:
		e.Fail(failure.New(failure.StoreUnavailable, "down"))
	case f.storeMode == storeSilent:
	case m.Epoch.Less(f.sealedEpoch):
		e.Fail(failure.New(failure.NotHolder, "sealed"))
	default:
		f.log = append(f.log, m.Records...)
		if f.storeMode == storeUp {
			e.Reply(message.LogAppended{})
		}
	}
}

// fakePeers replaces the peers service. It replies for the other VMs, and records the attempts and intent records that
// are sent to them.
type fakePeers struct {
	fake *fakeService
}

func (p *fakePeers) Start(*kernel.Context) error { return nil }
func (p *fakePeers) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (p *fakePeers) Handle(c *kernel.Context, e kernel.Envelope) {
	m, ok := e.Body.(message.Forward)
	if !ok {
		return
	}
	switch m.Body.(type) {
	case message.IntentRecord:
		c.Request(names.Store, withFake{func(_ *kernel.Context, f *fakeService) { p.answerIntentRecord(e, m, f) }}, func(kernel.Message, error) {})
	case message.IntentQuery:
		e.Reply(message.IntentReply{})
	default:
		c.Request(names.Store, withFake{func(_ *kernel.Context, f *fakeService) { p.answerAttempt(e, m, f) }}, func(kernel.Message, error) {})
	}
}

func (p *fakePeers) answerAttempt(e kernel.Envelope, m message.Forward, f *fakeService) {
	f.forwards = append(f.forwards, m)
	if f.remoteAttempt == nil {
		e.Fail(failure.New(failure.NoHolder, "no other failure domain"))
		return
	}
	e.Reply(f.remoteAttempt(m))
}

func (p *fakePeers) answerIntentRecord(e kernel.Envelope, m message.Forward, f *fakeService) {
	f.forwards = append(f.forwards, m)
	if f.peersUnreachable {
		e.Fail(failure.New(failure.HomeUnreachable, "partition"))
		return
	}
	e.Reply(message.Done{})
}

// harness runs the services of one VM and its executors in one kernel.
type harness struct {
	t         *testing.T
	kernel    *kernel.Kernel
	stop      context.CancelFunc
	runResult chan error
	execs     []*executor.LocalClient
	epoch     model.Epoch
}

func newHarness(t *testing.T, executorCount int, runTime time.Duration) *harness {
	ctx, stop := context.WithCancel(context.Background())
	h := &harness{t: t, stop: stop, runResult: make(chan error, 1)}
	f := &fakeService{}
	byAddress := map[string]int{}
	var specs []kernel.Spec
	for i := range executorCount {
		name := kernel.Name(fmt.Sprint("e", i))
		byAddress[string(name)] = i
		specs = append(specs, kernel.Spec{Name: name, Service: executor.New(8, runTime)})
	}
	dial := func(a string) platform.Client { return h.execs[byAddress[a]] }
	ex, di := executors.New(dial, nil).Spec(), dispatch.New("a", nil).Spec()
	for _, s := range specs {
		ex.DependsOn = append(ex.DependsOn, s.Name)
	}
	specs = append(specs, ex, di,
		kernel.Spec{Name: names.Store, Service: f}, kernel.Spec{Name: names.Authority, Service: &fakeService{}},
		kernel.Spec{Name: names.Peers, Service: &fakePeers{f}})
	k, err := kernel.New(nil, specs...)
	if err != nil {
		t.Fatal(err)
	}
	h.kernel = k
	for i := range executorCount {
		h.execs = append(h.execs, executor.NewLocalClient(k, kernel.Name(fmt.Sprint("e", i))))
	}
	go func() { h.runResult <- k.Run(ctx) }()
	<-k.Started()
	h.publish(h.membersChanged())
	h.takeOver(true)
	return h
}

func (h *harness) membersChanged() message.MembersChanged {
	m := message.MembersChanged{Members: []model.Member{{VM: "v2", Domain: "a", Region: "r", Alive: true}}}
	for i := range h.execs {
		id := fmt.Sprint("e", i)
		m.Executors = append(m.Executors, model.VM{ID: id, Address: id, Region: "r", Role: model.RoleExecutor})
	}
	return m
}

func (h *harness) withFake(fn func(*kernel.Context, *fakeService)) {
	if _, err := h.kernel.Call(context.Background(), names.Store, withFake{fn}); err != nil {
		h.t.Fatal(err)
	}
	synctest.Wait()
}

func (h *harness) publish(m kernel.Message) {
	h.withFake(func(c *kernel.Context, _ *fakeService) { c.Publish(m) })
}

// takeOver makes the VM the holder under a new epoch. If sealed is false, the log could not be read and its records are
// missing from the replay.
func (h *harness) takeOver(sealed bool) {
	h.epoch.Store++
	epoch := h.epoch
	h.withFake(func(c *kernel.Context, f *fakeService) {
		f.sealedEpoch = epoch
		c.Publish(message.AuthorityChanged{Holder: true, Epoch: epoch})
		replay := message.LogReplayed{Epoch: epoch, Sealed: sealed}
		if sealed {
			replay.Records = append(replay.Records, f.log...)
		}
		c.Publish(replay)
	})
}

func (h *harness) issueTickets(n int) []model.Ticket {
	r, err := kernel.Call[message.TicketsReply](context.Background(), h.kernel, names.Dispatch, message.TicketIssue{Count: n})
	if err != nil {
		h.t.Fatal(err)
	}
	return r.Tickets
}

// result is the result of a request as reported to its caller.
type result struct {
	id      model.RequestID
	outcome failure.Outcome
	reason  failure.Reason
	body    string
}

func (h *harness) send(ticket *model.Ticket, key string, repeatable bool, timeout time.Duration) result {
	id := model.RequestID("key/x/" + key)
	if ticket != nil {
		id = model.RequestID(ticket.String())
	}
	req := model.Request{ID: id, Account: "x", Service: "s", Payload: []byte(id), Repeatable: repeatable, Deadline: time.Now().Add(timeout)}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := kernel.Call[message.RequestReply](ctx, h.kernel, names.Dispatch, message.RequestSend{Request: req, Ticket: ticket})
	if err != nil {
		if ctx.Err() != nil {
			return result{id: id, outcome: failure.Unknown, reason: failure.DeadlineExceeded}
		}
		f := failure.From(err)
		return result{id: id, outcome: f.Outcome, reason: f.Reason}
	}
	return result{id: id, outcome: r.Outcome, body: string(r.Body)}
}

func (h *harness) executorHistories() []executor.History {
	var out []executor.History
	for _, e := range h.execs {
		history, err := e.History(context.Background())
		if err != nil {
			h.t.Fatal(err)
		}
		out = append(out, history)
	}
	return out
}

func (h *harness) close() {
	h.stop()
	if err := <-h.runResult; err != nil {
		h.t.Fatal(err)
	}
}
