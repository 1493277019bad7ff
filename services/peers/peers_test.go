package peers

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestLostAnswer guards against a second delivery of a message that may not be repeated, and against a call that is
// reported as not run although it may have been processed. The connection breaks after the call is sent.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		body       kernel.Message
		idempotent bool
		wantKind   string
	}{
		{"idempotent", message.TicketIssue{Count: 1}, true, "ticket_issue"},
		{"request", message.RequestSend{}, false, "request_status"},
		{"other", message.JobSubmit{}, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, got := gomega.NewWithT(t), make(kindRecorder, 8)
			b := newVM(t, "b", nil, got.handle).start()
			a := newVM(t, "a", []model.Member{dropFirstConnection(t, b.member)}, nil).start()
			_, f := a.send(test.body, test.idempotent, longTimeout)
			if test.wantKind == "" {
				g.Expect(f).NotTo(gomega.BeNil())
				g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
				g.Expect(got).To(gomega.BeEmpty())
				return
			}
			g.Expect(f).To(gomega.BeNil())
			g.Expect(got).To(gomega.HaveLen(1))
			g.Expect(<-got).To(gomega.Equal(test.wantKind))
		})
	}
}

// TestForeignInstallation guards against a VM of another installation that answers calls after it has reused the
// address and the name of a former VM of this installation.
func TestForeignInstallation(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kindRecorder, 8)
	b := newVM(t, "b", nil, got.handle)
	b.service.installation = "other"
	b.start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	_, f := a.send(message.JobSubmit{}, false, longTimeout)
	g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestLostThenRefused guards against reporting a message as not run because the second attempt was refused, although
// the first attempt, which got no response, may have been processed.
func TestLostThenRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { e.Fail(failure.New(failure.Overloaded, "")) }).start()
	a := newVM(t, "a", []model.Member{dropFirstConnection(t, b.member)}, nil).start()
	_, f := a.send(message.TicketIssue{}, true, longTimeout)
	g.Expect(f.Reason).To(gomega.Equal(failure.Overloaded))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
}

// TestHolderChange guards against a call that fails because the holder changed while the call was in flight.
func TestHolderChange(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kindRecorder, 8)
	c := newVM(t, "c", nil, got.handle).start()
	c.member.Holder.Store = 2
	var a *testVM
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		a.publish(message.MembersChanged{Members: []model.Member{c.member}})
		e.Fail(failure.New(failure.NotHolder, "released"))
	}).start()
	a = newVM(t, "a", []model.Member{b.member}, nil).start()
	m, f := a.send(message.JobSubmit{}, false, longTimeout)
	expectAnswer(g, m, f)
	g.Expect(got).To(gomega.HaveLen(1))
}

// TestRecordedJobIsNotSubmittedAgain guards against a job that is queued twice. A holder that loses its authority while
// it records a submission does not know whether the job is durable, so the submission must not be sent to another
// holder.
func TestRecordedJobIsNotSubmittedAgain(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kindRecorder, 8)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		got <- e.Body.Kind()
		e.Fail(failure.New(failure.NotHolder, "authority was lost").WithOutcome(failure.Unknown))
	}).start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	_, f := a.send(message.JobSubmit{}, false, longTimeout)
	g.Expect(f.Reason).To(gomega.Equal(failure.NotHolder))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
	g.Expect(got).To(gomega.HaveLen(1))
}

// TestCircuit guards against a circuit breaker that lets calls wait for an unreachable VM, and against one that stays
// open after the VM is reachable again.
func TestCircuit(t *testing.T) {
	g, k, now := gomega.NewWithT(t), &circuitBreaker{}, time.Unix(0, 0)
	for range breakerThreshold {
		g.Expect(k.allow(now)).To(gomega.BeTrue())
		k.record(false, now)
	}
	g.Expect(k.allow(now.Add(probeInterval - 1))).To(gomega.BeFalse())
	now = now.Add(probeInterval)
	g.Expect(k.allow(now)).To(gomega.BeTrue(), "probe")
	g.Expect(k.allow(now)).To(gomega.BeFalse(), "second probe")
	k.record(false, now)
	g.Expect(k.allow(now.Add(probeInterval - 1))).To(gomega.BeFalse())
	g.Expect(k.allow(now.Add(probeInterval))).To(gomega.BeTrue())
	k.record(true, now)
	g.Expect(k.allow(now)).To(gomega.BeTrue())
	g.Expect(k.allow(now)).To(gomega.BeTrue())
}

// TestSilentVM guards against a circuit breaker that stays closed for a VM that accepts connections but does not
// answer, and against one that opens because of short deadlines, slow requests or cancelled calls.
func TestSilentVM(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		body kernel.Message
		err  error
		took time.Duration
		open bool
	}{
		{"silent", message.Heartbeat{}, context.DeadlineExceeded, unresponsiveAfter, true},
		{"short deadline", message.Heartbeat{}, context.DeadlineExceeded, unresponsiveAfter - 1, false},
		{"slow request", message.RequestSend{}, context.DeadlineExceeded, time.Minute, false},
		{"cancelled", message.TicketIssue{}, context.Canceled, time.Minute, false},
		{"answered", message.Heartbeat{}, nil, time.Minute, false},
	} {
		s := &Service{breakers: make(map[model.VMID]*circuitBreaker)}
		for range breakerThreshold {
			m := callDone{vm: "b", err: test.err, sent: true, startedAt: now.Add(-test.took)}
			m.forward.Body = test.body
			s.updateBreaker(m, now)
		}
		if open := !s.breaker("b").allow(now); open != test.open {
			t.Errorf("%s: open %v, want %v", test.name, open, test.open)
		}
	}
}

// TestPausedHolder guards against an idempotent call that waits at a paused holder until its deadline although the next
// holder is known, and against a call that is repeated at the next holder although it is not idempotent.
func TestPausedHolder(t *testing.T) {
	g, got, unanswered := gomega.NewWithT(t), make(kindRecorder, 8), make(chan kernel.Envelope, 8)
	paused := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { unanswered <- e }).start()
	next := newVM(t, "c", nil, got.handle).start()
	next.member.Holder.Store = 2
	a := newVM(t, "a", []model.Member{paused.member}, nil).start()
	answers, notRepeated := make(chan *failure.Error, 1), make(chan *failure.Error, 1)
	go func() { _, f := a.send(message.TicketIssue{}, true, longTimeout); answers <- f }()
	go func() { _, f := a.send(message.JobSubmit{}, false, longTimeout); notRepeated <- f }()
	first, second := <-unanswered, <-unanswered
	a.publish(message.MembersChanged{Members: []model.Member{paused.member, next.member}})
	g.Expect(<-answers).To(gomega.BeNil())
	g.Expect(got).To(gomega.HaveLen(1))
	g.Expect(<-got).To(gomega.Equal("ticket_issue"))
	first.Reply(message.Done{})
	second.Reply(message.Done{})
	g.Expect(<-notRepeated).To(gomega.BeNil())
}

// TestDeadHolder guards against calls to a holder that the membership service considers dead.
func TestDeadHolder(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kindRecorder, 8)
	b := newVM(t, "b", nil, got.handle).start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	b.member.LastHeard = time.Now()
	a.publish(message.MembersChanged{Members: []model.Member{b.member}})
	_, f := a.send(message.JobSubmit{}, false, longTimeout)
	g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestUnreachableVM guards against a message that is reported as possibly run although the connect failed, and against
// one that is reported as not run although an earlier call with the same key or ticket may have run it.
func TestUnreachableVM(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newVM(t, "b", nil, nil)
	b.service.listener.Close()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	for _, c := range []struct {
		body kernel.Message
		want failure.Outcome
	}{
		{message.JobSubmit{}, failure.NotRun},
		{message.JobSubmit{Spec: model.JobSpec{Key: "k"}}, failure.Unknown},
		{message.RequestSend{Fresh: true}, failure.NotRun},
		{message.RequestSend{}, failure.Unknown},
	} {
		_, f := a.send(c.body, false, longTimeout)
		g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
		g.Expect(f.Outcome).To(gomega.Equal(c.want), "%+v", c.body)
	}
}

// TestDeadlineBudget guards against a deadline of the caller's clock that is compared with the clock of the called VM,
// and against work that starts after the deadline of the caller.
func TestDeadlineBudget(t *testing.T) {
	g, deadlines := gomega.NewWithT(t), make(chan time.Time, 2)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		deadlines <- e.Body.(message.RequestSend).Request.Deadline
		e.Reply(message.Done{})
	}).start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	start := time.Now()
	m, f := a.send(message.RequestSend{}, false, time.Hour)
	expectAnswer(g, m, f)
	g.Expect(<-deadlines).To(gomega.BeTemporally("~", start.Add(time.Hour), 30*time.Minute))
	var resp Response
	for fresh, outcome := range map[bool]failure.Outcome{true: failure.NotRun, false: failure.Unknown} {
		resp = Response{}
		body := message.RequestSend{Fresh: fresh}
		g.Expect((&endpoint{context.Background(), b.k, ""}).Deliver(Request{To: "dispatch", Body: body}, &resp)).To(gomega.Succeed())
		g.Expect(resp.Failure.Reason).To(gomega.Equal(failure.DeadlineExceeded))
		g.Expect(resp.Failure.Outcome).To(gomega.Equal(outcome))
	}
	g.Expect(deadlines).To(gomega.BeEmpty())
	resp = Response{}
	g.Expect((&endpoint{context.Background(), b.k, ""}).Deliver(Request{To: "dispatch", Budget: longTimeout}, &resp)).To(gomega.Succeed())
	g.Expect(resp.Failure.Reason).To(gomega.Equal(failure.Malformed))
}

// largeAnswer is the size in bytes of a response that exceeds the socket buffers, so that it is truncated if the VM
// stops before the response is written.
const largeAnswer = 32 << 20

// TestDrainWritesAnswers guards against a VM that shuts down before it has written the complete responses to the calls
// in progress, and against new calls that are not refused as not run (promise P8).
func TestDrainWritesAnswers(t *testing.T) {
	g, unanswered := gomega.NewWithT(t), make(chan kernel.Envelope, 1)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { unanswered <- e }).start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	sizes := make(chan int, 1)
	go func() {
		m, _ := a.send(message.JobSubmit{}, false, longTimeout)
		reply, _ := m.(message.RequestReply)
		sizes <- len(reply.Body)
	}()
	e := <-unanswered
	b.stop()
	e.Reply(message.RequestReply{Body: make([]byte, largeAnswer)})
	b.endDrain()
	g.Expect(<-b.done).To(gomega.Succeed())
	g.Expect(<-sizes).To(gomega.Equal(largeAnswer))
	_, f := a.send(message.JobSubmit{}, false, longTimeout)
	g.Expect(f).NotTo(gomega.BeNil())
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
}

// TestCallAtClose guards against a call that is reported as possibly processed although it arrived in the last step of
// a shutdown and was never read, and against the loss of another response because of that unread call.
func TestCallAtClose(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	received, answer := make(chan struct{}), make(chan struct{})
	server := rpc.NewServer()
	g.Expect(server.RegisterName("Peer", &blockingEndpoint{received, answer})).To(gomega.Succeed())
	conns := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		conns <- conn
		server.ServeCodec(newServerCodec(conn))
	}()
	link, err := dial(context.Background(), l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer link.client.Close()
	first := link.client.Go(deliverMethod, Request{}, new(Response), nil)
	<-received
	g.Expect((<-conns).SetReadDeadline(time.Now())).To(gomega.Succeed())
	unread := link.client.Go(deliverMethod, Request{Body: message.RequestReply{Body: make([]byte, 1<<16)}}, new(Response), nil)
	close(answer)
	g.Expect((<-first.Done).Error).NotTo(gomega.HaveOccurred())
	g.Expect(first.Reply.(*Response).Body).To(gomega.Equal(message.Done{}))
	g.Expect(notProcessed((<-unread.Done).Error)).To(gomega.BeTrue())
	_, sent, err := call(context.Background(), link.client, Request{})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(sent).To(gomega.BeFalse())
}

// blockingEndpoint reports each call on received and answers it once answer is closed.
type blockingEndpoint struct{ received, answer chan struct{} }

// Deliver implements the net/rpc method of the endpoint.
func (b *blockingEndpoint) Deliver(_ Request, resp *Response) error {
	b.received <- struct{}{}
	<-b.answer
	resp.Body = message.Done{}
	return nil
}

// TestDeliveryFailures guards against kernel errors that are reported with a wrong outcome, and against refusals of a
// stopping VM that do not tell the caller to retry elsewhere.
func TestDeliveryFailures(t *testing.T) {
	for _, test := range []struct {
		err     error
		reason  failure.Reason
		outcome failure.Outcome
	}{
		{&kernel.StoppedError{Name: "dispatch"}, failure.Draining, failure.NotRun},
		{&kernel.MailboxFullError{Name: "dispatch"}, failure.Overloaded, failure.NotRun},
		{&kernel.TooManyRequestsError{Name: "dispatch"}, failure.Overloaded, failure.NotRun},
		{&kernel.UnknownServiceError{Name: "dispatch"}, failure.Internal, failure.NotRun},
		{&kernel.UnansweredError{Name: "dispatch"}, failure.Internal, failure.Unknown},
		{context.DeadlineExceeded, failure.DeadlineExceeded, failure.Unknown},
		{failure.New(failure.NotHolder, ""), failure.NotHolder, failure.NotRun},
	} {
		f := failure.FromDelivery(test.err)
		if f.Reason != test.reason || f.Outcome != test.outcome || f.RetryElsewhere != (f.Reason == failure.Draining) {
			t.Errorf("%T: %+v", test.err, f)
		}
	}
}

// TestBoundedCalls guards against an unbounded number of calls in flight to VMs that do not answer.
func TestBoundedCalls(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kindRecorder, 8)
	b := newVM(t, "b", nil, got.handle).start()
	a := newVM(t, "a", []model.Member{b.member}, nil)
	a.service.callsInFlight = maxCallsInFlight
	a.start()
	t.Cleanup(func() { a.service.callsInFlight = 0 })
	_, f := a.send(message.JobSubmit{}, false, longTimeout)
	g.Expect(f.Reason).To(gomega.Equal(failure.Overloaded))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestReplacedVM guards against calls to the old address of a VM that was replaced by one with the same name, and
// against a replacement that cancels a call in progress.
func TestReplacedVM(t *testing.T) {
	g, unanswered, got := gomega.NewWithT(t), make(chan kernel.Envelope, 2), make(kindRecorder, 8)
	old := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { unanswered <- e }).start()
	a := newVM(t, "a", []model.Member{old.member}, nil).start()
	results := make(chan *failure.Error, 2)
	send := func() { _, f := a.send(message.JobSubmit{}, false, longTimeout); results <- f }
	go send()
	(<-unanswered).Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
	go send()
	e := <-unanswered
	b := newVM(t, "b", nil, got.handle).start()
	a.publish(message.MembersChanged{Members: []model.Member{b.member}})
	m, f := a.send(message.JobSubmit{}, false, longTimeout)
	expectAnswer(g, m, f)
	g.Expect(got).To(gomega.HaveLen(1))
	e.Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
}

// TestExpiredCall guards against an expired call that cancels other calls on its connection, and against a data race
// between a late response and the reader of the expired call's result.
func TestExpiredCall(t *testing.T) {
	g, unanswered := gomega.NewWithT(t), make(chan kernel.Envelope, 4)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { unanswered <- e }).start()
	a := newVM(t, "a", []model.Member{b.member}, nil).start()
	results := make(chan *failure.Error, 2)
	send := func() { _, f := a.send(message.JobSubmit{}, false, longTimeout); results <- f }
	go send()
	(<-unanswered).Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
	go send()
	long := <-unanswered
	_, f := a.send(message.JobSubmit{}, false, 50*time.Millisecond)
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
	(<-unanswered).Reply(message.RequestReply{Body: make([]byte, 1<<20)})
	long.Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
}
