package kernel

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

type text string

func (text) Kind() string { return "text" }

// fake is a service made of functions; nil functions do nothing and drain at once.
type fake struct {
	start  func(*Context) error
	handle func(*Context, Envelope)
	drain  func(*Context)
}

func (f *fake) Start(c *Context) error {
	if f.start == nil {
		return nil
	}
	return f.start(c)
}

func (f *fake) Handle(c *Context, e Envelope) {
	if f.handle != nil {
		f.handle(c, e)
	}
}

func (f *fake) Drain(c *Context) {
	if f.drain == nil {
		c.Drained()
		return
	}
	f.drain(c)
}

type refusals chan string

func (r refusals) Refused(to Name, kind string) { r <- string(to) + "/" + kind }

// running is a kernel that a test started.
type running struct {
	*Kernel
	stop   context.CancelFunc
	result chan error
}

func begin(t *testing.T, o Observer, specs ...Spec) *running {
	t.Helper()
	k, err := New(o, specs...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Kernel: k, stop: cancel, result: make(chan error, 1)}
	go func() { r.result <- k.Run(ctx) }()
	return r
}

func (r *running) end() error {
	r.stop()
	return <-r.result
}

func bubble(t *testing.T, f func(t *testing.T, g *gomega.WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, gomega.NewWithT(t)) })
}

// TestOrder guards against a service that starts before its dependency or stops after it.
func TestOrder(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		var order []string
		spec := func(n Name, after ...Name) Spec {
			return Spec{Name: n, After: after, Service: &fake{
				start: func(*Context) error { order = append(order, "start "+string(n)); return nil },
				drain: func(c *Context) { order = append(order, "drain "+string(n)); c.Drained() },
			}}
		}
		r := begin(t, nil, spec("c", "b"), spec("a"), spec("b", "a"))
		<-r.Started()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(order).To(gomega.Equal([]string{"start a", "start b", "start c", "drain c", "drain b", "drain a"}))
	})
}

// TestStartFailureDrainsEarlierServices guards against services that are cut off because a later one
// cannot start, and against callers that wait for a service that never started.
func TestStartFailureDrainsEarlierServices(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		drained := false
		cause := errors.New("port in use")
		r := begin(t, nil,
			Spec{Name: "a", Service: &fake{drain: func(c *Context) { drained = true; c.Drained() }}},
			Spec{Name: "b", After: []Name{"a"}, Service: &fake{start: func(*Context) error { return cause }}},
			Spec{Name: "c", After: []Name{"b"}, Service: &fake{}},
		)
		_, err := r.Call(t.Context(), "c", text("x"))
		var stopped *StoppedError
		g.Expect(errors.As(err, &stopped)).To(gomega.BeTrue(), "call to a service that never started: %v", err)
		err = <-r.result
		var start *StartError
		g.Expect(errors.As(err, &start)).To(gomega.BeTrue())
		g.Expect(start.Name).To(gomega.Equal(Name("b")))
		g.Expect(err).To(gomega.MatchError(cause))
		g.Expect(drained).To(gomega.BeTrue())
	})
}

// TestBackground guards against a wait without end for services that do not start, and against a lost result.
func TestBackground(t *testing.T) {
	g, cause := gomega.NewWithT(t), errors.New("no address")
	k, err := New(nil, Spec{Name: "a", Service: &fake{start: func(*Context) error { return cause }}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = k.Start()
	g.Expect(err).To(gomega.MatchError(cause))
	k, err = New(nil, Spec{Name: "a", Service: &fake{}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop, err := k.Start()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stop(nil)).To(gomega.Succeed())
	g.Expect(stop(nil)).To(gomega.Succeed())
}

// TestRegistration guards against a kernel that starts with services it cannot order.
func TestRegistration(t *testing.T) {
	for _, specs := range [][]Spec{
		{{Name: "a"}, {Name: "a"}},
		{{Name: "a", After: []Name{"z"}}},
		{{Name: "a", After: []Name{"b"}}, {Name: "b", After: []Name{"a"}}},
	} {
		_, err := New(nil, specs...)
		var r *RegistrationError
		gomega.NewWithT(t).Expect(errors.As(err, &r)).To(gomega.BeTrue(), "%v", err)
	}
}

// TestFullMailbox guards against a sender that blocks, or a lost message that nobody counted.
func TestFullMailbox(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		block := make(chan struct{})
		seen := make(refusals, 1)
		r := begin(t, seen, Spec{Name: "a", Mailbox: 1, Service: &fake{handle: func(*Context, Envelope) { <-block }}})
		<-r.Started()
		g.Expect(r.Send("a", text("handled"))).To(gomega.Succeed())
		synctest.Wait()
		g.Expect(r.Send("a", text("queued"))).To(gomega.Succeed())
		var full *MailboxFullError
		g.Expect(errors.As(r.Send("a", text("refused")), &full)).To(gomega.BeTrue())
		g.Expect(<-seen).To(gomega.Equal("a/text"))
		close(block)
		g.Expect(r.end()).To(gomega.Succeed())
	})
}

// TestRequestReply guards against answers that are lost, doubled or given to another request.
func TestRequestReply(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []Message
		asker := &fake{start: func(c *Context) error {
			for i := range 3 {
				c.Request("echo", text(strconv.Itoa(i)), func(m Message, err error) { got = append(got, m) })
			}
			c.Request("nobody", text("x"), func(_ Message, err error) {
				var unknown *UnknownServiceError
				g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
			})
			return nil
		}}
		echo := &fake{handle: func(_ *Context, e Envelope) {
			e.Reply(e.Body)
			e.Reply(text("second answer"))
		}}
		r := begin(t, nil, Spec{Name: "echo", Service: echo}, Spec{Name: "asker", Service: asker, After: []Name{"echo"}})
		<-r.Started()
		synctest.Wait()
		answer, err := Call[text](t.Context(), r.Kernel, "echo", text("outside"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer).To(gomega.Equal(text("outside")))
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf(text("0"), text("1"), text("2")))
	})
}

// TestPublishKeepsLastValue guards against a slow subscriber that never learns the final value.
func TestPublishKeepsLastValue(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		block := make(chan struct{})
		var got []Message
		sub := &fake{handle: func(_ *Context, e Envelope) { <-block; got = append(got, e.Body) }}
		pub := &fake{handle: func(c *Context, e Envelope) {
			for i := range 50 {
				c.Publish(text(strconv.Itoa(i)))
			}
		}}
		r := begin(t, nil, Spec{Name: "sub", Service: sub, Mailbox: 2, Subscribes: []string{"text"}}, Spec{Name: "pub", Service: pub})
		<-r.Started()
		g.Expect(r.Send("pub", text("go"))).To(gomega.Succeed())
		synctest.Wait()
		close(block)
		time.Sleep(2 * republishDelay)
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(len(got)).To(gomega.BeNumerically("<", 50))
		g.Expect(got[len(got)-1]).To(gomega.Equal(text("49")))
	})
}

// TestTimers guards against timers out of order, early, or alive after they are canceled.
func TestTimers(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		begun := time.Now()
		var got []string
		s := &fake{
			start: func(c *Context) error {
				c.After(3*time.Second, text("late"))
				c.After(time.Second, text("early"))
				c.After(2*time.Second, text("canceled"))()
				return nil
			},
			handle: func(_ *Context, e Envelope) {
				got = append(got, string(e.Body.(text))+" "+time.Since(begun).String())
			},
		}
		r := begin(t, nil, Spec{Name: "a", Service: s})
		time.Sleep(4 * time.Second)
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(got).To(gomega.Equal([]string{"early 1s", "late 3s"}))
	})
}

// TestTasks guards against tasks that outlive their service and results that do not arrive.
func TestTasks(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []Message
		ended := false
		s := &fake{
			start: func(c *Context) error {
				post := c.Post()
				c.Spawn(func(ctx context.Context) Message {
					post(text("posted"))
					<-ctx.Done()
					ended = true
					return text("after the stop")
				})
				c.Spawn(func(context.Context) Message { return text("result") })
				return nil
			},
			handle: func(_ *Context, e Envelope) { got = append(got, e.Body) },
		}
		r := begin(t, nil, Spec{Name: "a", Service: s})
		<-r.Started()
		synctest.Wait()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf(text("posted"), text("result")))
		g.Expect(ended).To(gomega.BeTrue())
	})
}

// TestDrainTimeout guards against a shutdown that hangs on a service that never reports its drain.
func TestDrainTimeout(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		r := begin(t, nil, Spec{Name: "a", DrainTimeout: 3 * time.Second, Service: &fake{drain: func(*Context) {}}})
		<-r.Started()
		begun := time.Now()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(time.Since(begun)).To(gomega.Equal(3 * time.Second))
	})
}

type lifecycle struct{ events []string }

func (*lifecycle) Refused(Name, string)     {}
func (l *lifecycle) ServiceStarted(n Name)  { l.events = append(l.events, "started "+string(n)) }
func (l *lifecycle) ServiceDraining(n Name) { l.events = append(l.events, "draining "+string(n)) }
func (l *lifecycle) ServiceStopped(n Name, complete bool) {
	l.events = append(l.events, "stopped "+string(n)+" "+strconv.FormatBool(complete))
}

// TestLifecycleObserver guards against a drain that was cut short without a trace, and against an abort
// that drains.
func TestLifecycleObserver(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		l := &lifecycle{}
		r := begin(t, l, Spec{Name: "a", Service: &fake{drain: func(*Context) {}}}, Spec{Name: "b", Service: &fake{}})
		<-r.Started()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(l.events).To(gomega.Equal([]string{"started a", "started b", "draining b", "stopped b true", "draining a", "stopped a false"}))

		k, err := New(nil, Spec{Name: "a", Service: &fake{drain: func(*Context) { t.Error("drained") }}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(&AbortError{})
		g.Expect(k.Run(ctx)).To(gomega.Succeed())
	})
}

// TestDrainHandlesMessages guards against a drain that abandons work in progress.
func TestDrainHandlesMessages(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		var open Envelope
		s := &fake{
			handle: func(c *Context, e Envelope) {
				if e.WantsReply() {
					open = e
					c.After(time.Second, text("done"))
					return
				}
				open.Reply(text("finished"))
				c.Drained()
			},
			drain: func(*Context) {},
		}
		r := begin(t, nil, Spec{Name: "a", Service: s})
		<-r.Started()
		answer := make(chan Message, 1)
		go func() { m, _ := r.Call(t.Context(), "a", text("work")); answer <- m }()
		synctest.Wait()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(<-answer).To(gomega.Equal(text("finished")))
	})
}

// TestStopAnswersEveryEnvelope guards against callers that wait for ever for a stopped service: one whose
// envelope the service held, one whose envelope waited for another service, and one that came late.
func TestStopAnswersEveryEnvelope(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		holder := &fake{handle: func(*Context, Envelope) {}}
		middle := &fake{handle: func(c *Context, e Envelope) {
			c.Request("holder", e.Body, func(m Message, err error) {
				e.Fail(err)
				c.Request("holder", text("again"), func(Message, error) {})
			})
		}}
		r := begin(t, nil, Spec{Name: "holder", Service: holder}, Spec{Name: "middle", Service: middle, After: []Name{"holder"}})
		<-r.Started()
		errs := make(chan error, 2)
		for _, n := range []Name{"holder", "middle"} {
			go func() { _, err := r.Call(t.Context(), n, text("x")); errs <- err }()
		}
		synctest.Wait()
		g.Expect(r.end()).To(gomega.Succeed())
		for range 2 {
			var unanswered *UnansweredError
			g.Expect(errors.As(<-errs, &unanswered)).To(gomega.BeTrue())
		}
		_, err := r.Call(t.Context(), "holder", text("late"))
		var stopped *StoppedError
		g.Expect(errors.As(err, &stopped)).To(gomega.BeTrue())
	})
}

// TestAskerOutlivesReceiver guards against a request that is never settled because its receiver stopped
// first, and against a second answer to one that was answered in time.
func TestAskerOutlivesReceiver(t *testing.T) {
	bubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []string
		receiver := &fake{handle: func(_ *Context, e Envelope) {
			if e.Body == text("answered") {
				e.Reply(text("answer"))
			}
		}}
		asker := &fake{start: func(c *Context) error {
			for _, m := range []text{"answered", "ignored"} {
				c.Request("receiver", m, func(_ Message, err error) {
					got = append(got, string(m)+" "+strconv.FormatBool(err == nil))
				})
			}
			return nil
		}, drain: func(c *Context) { c.Drained() }}
		// The receiver starts after the asker and therefore stops first.
		r := begin(t, nil, Spec{Name: "asker", Service: asker}, Spec{Name: "receiver", Service: receiver, After: []Name{"asker"}})
		<-r.Started()
		g.Expect(r.end()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf("answered true", "ignored false"))
	})
}

// TestLateEnvelopes guards against an envelope that is lost between the last look into the mailbox and the
// stop: every call that races with the stop returns.
func TestLateEnvelopes(t *testing.T) {
	for range 200 {
		bubble(t, func(t *testing.T, g *gomega.WithT) {
			r := begin(t, nil, Spec{Name: "a", Service: &fake{handle: func(_ *Context, e Envelope) { e.Reply(e.Body) }}})
			<-r.Started()
			const calls = 20
			errs := make(chan error, calls)
			for range calls {
				go func() { _, err := r.Call(t.Context(), "a", text("x")); errs <- err }()
			}
			g.Expect(r.end()).To(gomega.Succeed())
			for range calls {
				var stopped *StoppedError
				if err := <-errs; err != nil && !errors.As(err, &stopped) {
					t.Fatalf("late call: %v", err)
				}
			}
		})
	}
}

// TestPanics guards against a daemon that continues without one of its services.
func TestPanics(t *testing.T) {
	boom := func() { panic("boom") }
	for name, s := range map[string]*fake{
		"start":  {start: func(*Context) error { boom(); return nil }},
		"handle": {handle: func(*Context, Envelope) { boom() }},
		"task": {handle: func(c *Context, _ Envelope) {
			c.Spawn(func(context.Context) Message { boom(); return nil })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, g *gomega.WithT) {
				r := begin(t, nil, Spec{Name: "other", Service: &fake{}}, Spec{Name: "a", Service: s})
				_ = r.Send("a", text("x"))
				var p *PanicError
				g.Expect(errors.As(<-r.result, &p)).To(gomega.BeTrue())
				g.Expect(p.Name).To(gomega.Equal(Name("a")))
				g.Expect(slices.Contains([]any{"boom"}, p.Value)).To(gomega.BeTrue())
			})
		})
	}
}
