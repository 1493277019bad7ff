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

// ample is a deadline that no test reaches.
const ample = time.Minute

// handler is a service that passes its messages to a function. Its drain ends with end.
type handler struct {
	handle func(c *kernel.Context, e kernel.Envelope)
	end    chan struct{}
}

type ended struct{}

func (ended) Kind() string { return "ended" }

func (h *handler) Start(*kernel.Context) error { return nil }

func (h *handler) Drain(c *kernel.Context) {
	c.Spawn(func(context.Context) kernel.Message { <-h.end; return ended{} })
}

func (h *handler) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case ended:
		c.Drained()
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

// vm is one entry VM: the peers service and a handler in the place of the dispatch service.
type vm struct {
	t       *testing.T
	member  model.Member
	k       *kernel.Kernel
	service *Service
	handler *handler
	stop    context.CancelFunc
	done    chan error
}

func newVM(t *testing.T, id model.VMID, others []model.Member, handle func(*kernel.Context, kernel.Envelope)) *vm {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{t: t, done: make(chan error, 1), handler: &handler{handle: handle, end: make(chan struct{})}}
	v.member = model.Member{VM: id, Domain: "home", Address: l.Addr().String(), Holder: model.Epoch{Store: 1}}
	self := v.member
	if len(others) > 0 {
		self.Domain = "away"
	}
	v.service = New("", self, others, l, metrics.New())
	v.k, err = kernel.New(nil, v.service.Spec(), kernel.Spec{Name: names.Dispatch, Service: v.handler, After: []kernel.Name{names.Peers}})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (v *vm) run() *vm {
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() { v.done <- v.k.Run(ctx) }()
	<-v.k.Started()
	v.t.Cleanup(func() {
		stop()
		v.finish()
	})
	return v
}

// finish lets the handler end its drain.
func (v *vm) finish() {
	select {
	case <-v.handler.end:
	default:
		close(v.handler.end)
	}
}

func (v *vm) publish(m kernel.Message) {
	if _, err := v.k.Call(context.Background(), names.Dispatch, publish{m}); err != nil {
		v.t.Fatal(err)
	}
}

// send forwards a message to the holder of the domain home.
func (v *vm) send(body kernel.Message, idempotent bool, wait time.Duration) (kernel.Message, *failure.Error) {
	f := message.Forward{Domain: "home", To: names.Dispatch, Body: body, Deadline: time.Now().Add(wait), Idempotent: idempotent}
	m, err := v.k.Call(context.Background(), names.Peers, f)
	if err != nil {
		return nil, failure.From(err)
	}
	return m, nil
}

// kinds records the kinds of the messages that a handler received and answers each with Done.
type kinds chan string

func (k kinds) handle(_ *kernel.Context, e kernel.Envelope) {
	k <- e.Body.Kind()
	if _, ok := e.Body.(message.RequestStatus); ok {
		e.Reply(message.RequestReply{Outcome: failure.Run})
		return
	}
	e.Reply(message.Done{})
}

// cutting returns the member behind a relay that drops its first connection after the call was read.
func cutting(t *testing.T, m model.Member) model.Member {
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

// expectAnswer fails the test unless a forward was answered without a failure.
func expectAnswer(g *gomega.WithT, m kernel.Message, f *failure.Error) {
	g.Expect(f).To(gomega.BeNil())
	g.Expect(m).To(gomega.Equal(message.Done{}))
}
