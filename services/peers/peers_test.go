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

// TestLostAnswer guards against a second delivery of a message that may not be repeated, and against a lost
// answer that is reported as not run.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name       string
		body       kernel.Message
		idempotent bool
		reaches    string
	}{
		{"idempotent", message.TicketIssue{Count: 1}, true, "ticket_issue"},
		{"request", message.RequestSend{}, false, "request_status"},
		{"other", message.JobSubmit{}, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, got := gomega.NewWithT(t), make(kinds, 8)
			b := newVM(t, "b", nil, got.handle).run()
			a := newVM(t, "a", []model.Member{cutting(t, b.member)}, nil).run()
			_, f := a.send(test.body, test.idempotent, ample)
			if test.reaches == "" {
				g.Expect(f).NotTo(gomega.BeNil())
				g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
				g.Expect(got).To(gomega.BeEmpty())
				return
			}
			g.Expect(f).To(gomega.BeNil())
			g.Expect(got).To(gomega.HaveLen(1))
			g.Expect(<-got).To(gomega.Equal(test.reaches))
		})
	}
}

// TestForeignInstallation guards against a VM of another installation that has taken over a known address and
// answers under the name of the former VM.
func TestForeignInstallation(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kinds, 8)
	b := newVM(t, "b", nil, got.handle)
	b.service.installation = "other"
	b.run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	_, f := a.send(message.JobSubmit{}, false, ample)
	g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestLostThenRefused guards against a refusal of the second attempt that hides that the first one may have
// been processed.
func TestLostThenRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { e.Fail(failure.New(failure.Overloaded, "")) }).run()
	a := newVM(t, "a", []model.Member{cutting(t, b.member)}, nil).run()
	_, f := a.send(message.TicketIssue{}, true, ample)
	g.Expect(f.Reason).To(gomega.Equal(failure.Overloaded))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
}

// TestHolderChange guards against a call that fails because the holder changed while it was on its way.
func TestHolderChange(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kinds, 8)
	c := newVM(t, "c", nil, got.handle).run()
	c.member.Holder.Store = 2
	var a *vm
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		a.publish(message.MembersChanged{Members: []model.Member{c.member}})
		e.Fail(failure.New(failure.NotHolder, "released"))
	}).run()
	a = newVM(t, "a", []model.Member{b.member}, nil).run()
	m, f := a.send(message.JobSubmit{}, false, ample)
	expectAnswer(g, m, f)
	g.Expect(got).To(gomega.HaveLen(1))
}

// TestRecordedJobIsNotSubmittedAgain guards against a second job: a holder that loses its authority while it
// records a submission cannot tell whether the job is durable, so that no other holder may get the submission.
func TestRecordedJobIsNotSubmittedAgain(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kinds, 8)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		got <- e.Body.Kind()
		e.Fail(failure.New(failure.NotHolder, "authority was lost").WithOutcome(failure.Unknown))
	}).run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	_, f := a.send(message.JobSubmit{}, false, ample)
	g.Expect(f.Reason).To(gomega.Equal(failure.NotHolder))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
	g.Expect(got).To(gomega.HaveLen(1))
}

// TestCircuit guards against calls that wait for an unreachable VM, and against a VM that stays shut out
// after its return.
func TestCircuit(t *testing.T) {
	g, k, now := gomega.NewWithT(t), &circuit{}, time.Unix(0, 0)
	for range circuitAfter {
		g.Expect(k.allow(now)).To(gomega.BeTrue())
		k.record(false, now)
	}
	g.Expect(k.allow(now.Add(probeEvery - 1))).To(gomega.BeFalse())
	now = now.Add(probeEvery)
	g.Expect(k.allow(now)).To(gomega.BeTrue(), "probe")
	g.Expect(k.allow(now)).To(gomega.BeFalse(), "second probe")
	k.record(false, now)
	g.Expect(k.allow(now.Add(probeEvery - 1))).To(gomega.BeFalse())
	g.Expect(k.allow(now.Add(probeEvery))).To(gomega.BeTrue())
	k.record(true, now)
	g.Expect(k.allow(now)).To(gomega.BeTrue())
	g.Expect(k.allow(now)).To(gomega.BeTrue())
}

// TestSilentVM guards against calls that wait for a VM that accepts connections and does not answer, against short
// deadlines and slow requests that shut a VM out, and against an abandoned call that counts as silence.
func TestSilentVM(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		body kernel.Message
		err  error
		took time.Duration
		open bool
	}{
		{"silent", message.Heartbeat{}, context.DeadlineExceeded, silentAfter, true},
		{"short deadline", message.Heartbeat{}, context.DeadlineExceeded, silentAfter - 1, false},
		{"slow request", message.RequestSend{}, context.DeadlineExceeded, time.Minute, false},
		{"abandoned", message.TicketIssue{}, context.Canceled, time.Minute, false},
		{"answered", message.Heartbeat{}, nil, time.Minute, false},
	} {
		s := &Service{circuits: make(map[model.VMID]*circuit)}
		for range circuitAfter {
			m := callDone{vm: "b", err: test.err, sent: true, begun: now.Add(-test.took)}
			m.forward.Body = test.body
			s.judge(m, now)
		}
		if open := !s.circuit("b").allow(now); open != test.open {
			t.Errorf("%s: open %v, want %v", test.name, open, test.open)
		}
	}
}

// TestPausedHolder guards against an idempotent call that waits for its deadline at a paused holder although the
// next one is known, and against a call that may not be repeated and is.
func TestPausedHolder(t *testing.T) {
	g, got, held := gomega.NewWithT(t), make(kinds, 8), make(chan kernel.Envelope, 8)
	paused := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { held <- e }).run()
	next := newVM(t, "c", nil, got.handle).run()
	next.member.Holder.Store = 2
	a := newVM(t, "a", []model.Member{paused.member}, nil).run()
	answers, kept := make(chan *failure.Error, 1), make(chan *failure.Error, 1)
	go func() { _, f := a.send(message.TicketIssue{}, true, ample); answers <- f }()
	go func() { _, f := a.send(message.JobSubmit{}, false, ample); kept <- f }()
	first, second := <-held, <-held
	a.publish(message.MembersChanged{Members: []model.Member{paused.member, next.member}})
	g.Expect(<-answers).To(gomega.BeNil())
	g.Expect(got).To(gomega.HaveLen(1))
	g.Expect(<-got).To(gomega.Equal("ticket_issue"))
	first.Reply(message.Done{})
	second.Reply(message.Done{})
	g.Expect(<-kept).To(gomega.BeNil())
}

// TestDeadHolder guards against a call that waits for a holder that the membership holds for dead.
func TestDeadHolder(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kinds, 8)
	b := newVM(t, "b", nil, got.handle).run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	b.member.LastHeard = time.Now()
	a.publish(message.MembersChanged{Members: []model.Member{b.member}})
	_, f := a.send(message.JobSubmit{}, false, ample)
	g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestUnreachableVM guards against a connect that fails and is reported as possibly processed, and against work that
// may have run in an earlier call and is reported as not run.
func TestUnreachableVM(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newVM(t, "b", nil, nil)
	b.service.listener.Close()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	for _, c := range []struct {
		body kernel.Message
		want failure.Outcome
	}{
		{message.JobSubmit{}, failure.NotRun},
		{message.JobSubmit{Spec: model.JobSpec{Key: "k"}}, failure.Unknown},
		{message.RequestSend{Fresh: true}, failure.NotRun},
		{message.RequestSend{}, failure.Unknown},
	} {
		_, f := a.send(c.body, false, ample)
		g.Expect(f.Reason).To(gomega.Equal(failure.HomeUnreachable))
		g.Expect(f.Outcome).To(gomega.Equal(c.want), "%+v", c.body)
	}
}

// TestDeadlineBudget guards against a deadline that is compared between the clocks of two VMs, and against
// work that begins after its caller has left.
func TestDeadlineBudget(t *testing.T) {
	g, deadlines := gomega.NewWithT(t), make(chan time.Time, 2)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) {
		deadlines <- e.Body.(message.RequestSend).Request.Deadline
		e.Reply(message.Done{})
	}).run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	begin := time.Now()
	m, f := a.send(message.RequestSend{}, false, time.Hour)
	expectAnswer(g, m, f)
	g.Expect(<-deadlines).To(gomega.BeTemporally("~", begin.Add(time.Hour), 30*time.Minute))
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
	g.Expect((&endpoint{context.Background(), b.k, ""}).Deliver(Request{To: "dispatch", Budget: ample}, &resp)).To(gomega.Succeed())
	g.Expect(resp.Failure.Reason).To(gomega.Equal(failure.Malformed))
}

// largeAnswer exceeds the socket buffers, so that an answer that is not awaited is cut off.
const largeAnswer = 32 << 20

// TestDrainWritesAnswers guards promise P8: a VM that shuts down writes the whole answers of the calls in
// progress, and new calls are refused as not run.
func TestDrainWritesAnswers(t *testing.T) {
	g, held := gomega.NewWithT(t), make(chan kernel.Envelope, 1)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { held <- e }).run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	sizes := make(chan int, 1)
	go func() {
		m, _ := a.send(message.JobSubmit{}, false, ample)
		reply, _ := m.(message.RequestReply)
		sizes <- len(reply.Body)
	}()
	e := <-held
	b.stop()
	e.Reply(message.RequestReply{Body: make([]byte, largeAnswer)})
	b.finish()
	g.Expect(<-b.done).To(gomega.Succeed())
	g.Expect(<-sizes).To(gomega.Equal(largeAnswer))
	_, f := a.send(message.JobSubmit{}, false, ample)
	g.Expect(f).NotTo(gomega.BeNil())
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
}

// TestCallAtClose guards against a call that reaches a VM in the last step of its shutdown, is never read and
// is reported as possibly processed, and against an answer that is lost because of it.
func TestCallAtClose(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()
	held, answer := make(chan struct{}), make(chan struct{})
	server := rpc.NewServer()
	g.Expect(server.RegisterName("Peer", &blocking{held, answer})).To(gomega.Succeed())
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
	<-held
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

// blocking answers its calls once answer is closed.
type blocking struct{ held, answer chan struct{} }

// Deliver implements the net/rpc method of the endpoint.
func (b *blocking) Deliver(_ Request, resp *Response) error {
	b.held <- struct{}{}
	<-b.answer
	resp.Body = message.Done{}
	return nil
}

// TestDeliveryFailures guards against an error of the kernel that is reported with a wrong outcome, and against a
// stopping VM that refuses without the hint to go elsewhere.
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

// TestBoundedCalls guards against calls without bound to a VM that does not answer.
func TestBoundedCalls(t *testing.T) {
	g, got := gomega.NewWithT(t), make(kinds, 8)
	b := newVM(t, "b", nil, got.handle).run()
	a := newVM(t, "a", []model.Member{b.member}, nil)
	a.service.calls = maxCalls
	a.run()
	t.Cleanup(func() { a.service.calls = 0 })
	_, f := a.send(message.JobSubmit{}, false, ample)
	g.Expect(f.Reason).To(gomega.Equal(failure.Overloaded))
	g.Expect(f.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(got).To(gomega.BeEmpty())
}

// TestReplacedVM guards against calls to the old address of a VM that was replaced under the same name, and
// against a replacement that cuts off a call in progress.
func TestReplacedVM(t *testing.T) {
	g, held, got := gomega.NewWithT(t), make(chan kernel.Envelope, 2), make(kinds, 8)
	old := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { held <- e }).run()
	a := newVM(t, "a", []model.Member{old.member}, nil).run()
	results := make(chan *failure.Error, 2)
	send := func() { _, f := a.send(message.JobSubmit{}, false, ample); results <- f }
	go send()
	(<-held).Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
	go send()
	e := <-held
	b := newVM(t, "b", nil, got.handle).run()
	a.publish(message.MembersChanged{Members: []model.Member{b.member}})
	m, f := a.send(message.JobSubmit{}, false, ample)
	expectAnswer(g, m, f)
	g.Expect(got).To(gomega.HaveLen(1))
	e.Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
}

// TestExpiredCall guards against an expired call that cuts off the others of its connection, and against a
// late answer that is written while its response is read.
func TestExpiredCall(t *testing.T) {
	g, held := gomega.NewWithT(t), make(chan kernel.Envelope, 4)
	b := newVM(t, "b", nil, func(_ *kernel.Context, e kernel.Envelope) { held <- e }).run()
	a := newVM(t, "a", []model.Member{b.member}, nil).run()
	results := make(chan *failure.Error, 2)
	send := func() { _, f := a.send(message.JobSubmit{}, false, ample); results <- f }
	go send()
	(<-held).Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
	go send()
	long := <-held
	_, f := a.send(message.JobSubmit{}, false, 50*time.Millisecond)
	g.Expect(f.Outcome).To(gomega.Equal(failure.Unknown))
	(<-held).Reply(message.RequestReply{Body: make([]byte, 1<<20)})
	long.Reply(message.Done{})
	g.Expect(<-results).To(gomega.BeNil())
}
