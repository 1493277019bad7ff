package peers

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// longTimeout is a deadline that no test reaches.
const longTimeout = time.Minute

// handler is a service that passes its messages to a function. Its drain completes once drainEnd is closed.
type handler struct {
	handle   func(c *kernel.Context, e kernel.Envelope)
	drainEnd chan struct{}
}

type drainEnded struct{}

func (drainEnded) Kind() string { return "ended" }

func (h *handler) Start(*kernel.Context) error { return nil }

func (h *handler) Drain(c *kernel.Context) {
	c.Spawn(func(context.Context) kernel.Message { <-h.drainEnd; return drainEnded{} })
}

func (h *handler) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case drainEnded:
		c.CompleteDrain()
	case publish:
		c.Publish(m.body)
		e.Reply(message.Done{})
	default:
		h.handle(c, e)
	}
}

// publish makes the handler publish a message.
type publish struct{ body kernel.Message }

func (publish) Kind() string { return "publish" }

// testVM is an entry VM that runs the peers service and a handler in the place of the dispatch service.
type testVM struct {
	t       *testing.T
	member  model.Member
	k       *kernel.Kernel
	service *Service
	handler *handler
	stop    context.CancelFunc
	done    chan error
}

// newVM returns a VM that is not started. A VM with others is a client in failure domain away, which calls the holder
// of failure domain home; a VM without others is that holder.
func newVM(t *testing.T, id model.VMID, others []model.Member, handle func(*kernel.Context, kernel.Envelope)) *testVM {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &testVM{t: t, done: make(chan error, 1), handler: &handler{handle: handle, drainEnd: make(chan struct{})}}
	v.member = model.Member{VM: id, Domain: "home", Address: l.Addr().String(), Holder: model.Epoch{Store: 1}}
	self := v.member
	if len(others) > 0 {
		self.Domain = "away"
	}
	v.service = New("", self, others, l, metrics.New())
	v.k, err = kernel.New(nil, v.service.Spec(), kernel.Spec{Name: names.Dispatch, Service: v.handler, DependsOn: []kernel.Name{names.Peers}})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (v *testVM) start() *testVM {
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() { v.done <- v.k.Run(ctx) }()
	<-v.k.Started()
	v.t.Cleanup(func() {
		stop()
		v.endDrain()
	})
	return v
}

// endDrain lets the handler complete its drain.
func (v *testVM) endDrain() {
	select {
	case <-v.handler.drainEnd:
	default:
		close(v.handler.drainEnd)
	}
}

func (v *testVM) publish(m kernel.Message) {
	if _, err := v.k.Call(context.Background(), names.Dispatch, publish{m}); err != nil {
		v.t.Fatal(err)
	}
}

// send forwards a message to the holder of the failure domain home.
func (v *testVM) send(body kernel.Message, idempotent bool, wait time.Duration) (kernel.Message, *failure.Error) {
	f := message.Forward{Domain: "home", To: names.Dispatch, Body: body, Deadline: time.Now().Add(wait), Idempotent: idempotent}
	m, err := v.k.Call(context.Background(), names.Peers, f)
	if err != nil {
		return nil, failure.From(err)
	}
	return m, nil
}

// kindRecorder records the kinds of received messages and answers each message with Done, an outcome query with Run.
type kindRecorder chan string

func (k kindRecorder) handle(_ *kernel.Context, e kernel.Envelope) {
	k <- e.Body.Kind()
	if _, ok := e.Body.(message.RequestStatus); ok {
		e.Reply(message.RequestReply{Outcome: failure.Run})
		return
	}
	e.Reply(message.Done{})
}

// dropFirstConnection returns m with the address of a TCP proxy to it. The proxy closes its first connection after
// reading a byte, so that the first call gets no response, and forwards all later ones.
func dropFirstConnection(t *testing.T, m model.Member) model.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	target := m.Address
	go func() {
		first, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = first.Read(make([]byte, 1))
		first.Close()
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in); out.Close() }()
			go func() { _, _ = io.Copy(in, out); in.Close() }()
		}
	}()
	m.Address = l.Addr().String()
	return m
}

// expectAnswer checks that a message was answered with Done.
func expectAnswer(g *gomega.WithT, m kernel.Message, f *failure.Error) {
	g.Expect(f).To(gomega.BeNil())
	g.Expect(m).To(gomega.Equal(message.Done{}))
}
