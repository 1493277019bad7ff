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

// fakeService is a service made of functions. A nil start or handle does nothing; a nil drain completes at once.
type fakeService struct {
	start  func(*Context) error
	handle func(*Context, Envelope)
	drain  func(*Context)
}

func (f *fakeService) Start(c *Context) error {
	if f.start == nil {
		return nil
	}
	return f.start(c)
}

func (f *fakeService) Handle(c *Context, e Envelope) {
	if f.handle != nil {
		f.handle(c, e)
	}
}

func (f *fakeService) Drain(c *Context) {
	if f.drain == nil {
		c.CompleteDrain()
		return
	}
	f.drain(c)
}

// refusalRecorder is an Observer that sends each refusal as "service/kind".
type refusalRecorder chan string

func (r refusalRecorder) MessageRefused(to Name, kind string) { r <- string(to) + "/" + kind }

// runningKernel is a kernel that runs in the background of a test.
type runningKernel struct {
	*Kernel
	stop   context.CancelFunc
	result chan error
}

func startKernel(t *testing.T, o Observer, specs ...Spec) *runningKernel {
	t.Helper()
	k, err := New(o, specs...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningKernel{Kernel: k, stop: cancel, result: make(chan error, 1)}
	go func() { r.result <- k.Run(ctx) }()
	return r
}

func (r *runningKernel) stopAndWait() error {
	r.stop()
	return <-r.result
}

// inBubble runs f in a synctest bubble, in which time is virtual.
func inBubble(t *testing.T, f func(t *testing.T, g *gomega.WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, gomega.NewWithT(t)) })
}

// TestOrder guards against a service that starts before its dependency or drains after it.
func TestOrder(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		var order []string
		spec := func(n Name, after ...Name) Spec {
			return Spec{Name: n, DependsOn: after, Service: &fakeService{
				start: func(*Context) error { order = append(order, "start "+string(n)); return nil },
				drain: func(c *Context) { order = append(order, "drain "+string(n)); c.CompleteDrain() },
			}}
		}
		r := startKernel(t, nil, spec("c", "b"), spec("a"), spec("b", "a"))
		<-r.Started()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(order).To(gomega.Equal([]string{"start a", "start b", "start c", "drain c", "drain b", "drain a"}))
	})
}

// TestStartFailureDrainsEarlierServices guards against services that are stopped without a drain because a later one
// fails to start, and against callers that hang on a call to a service that never started.
func TestStartFailureDrainsEarlierServices(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		drained := false
		cause := errors.New("port in use")
		r := startKernel(t, nil,
			Spec{Name: "a", Service: &fakeService{drain: func(c *Context) { drained = true; c.CompleteDrain() }}},
			Spec{Name: "b", DependsOn: []Name{"a"}, Service: &fakeService{start: func(*Context) error { return cause }}},
			Spec{Name: "c", DependsOn: []Name{"b"}, Service: &fakeService{}},
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

// TestBackground guards against a Start that hangs if a service fails to start, and against a stop that does not return
// the result of Run each time.
func TestBackground(t *testing.T) {
	g, cause := gomega.NewWithT(t), errors.New("no address")
	k, err := New(nil, Spec{Name: "a", Service: &fakeService{start: func(*Context) error { return cause }}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = k.Start()
	g.Expect(err).To(gomega.MatchError(cause))
	k, err = New(nil, Spec{Name: "a", Service: &fakeService{}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop, err := k.Start()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stop(nil)).To(gomega.Succeed())
	g.Expect(stop(nil)).To(gomega.Succeed())
}

// TestRegistration guards against duplicate names, unknown dependencies and dependency cycles that New accepts.
func TestRegistration(t *testing.T) {
	for _, specs := range [][]Spec{
		{{Name: "a"}, {Name: "a"}},
		{{Name: "a", DependsOn: []Name{"z"}}},
		{{Name: "a", DependsOn: []Name{"b"}}, {Name: "b", DependsOn: []Name{"a"}}},
	} {
		_, err := New(nil, specs...)
		var r *RegistrationError
		gomega.NewWithT(t).Expect(errors.As(err, &r)).To(gomega.BeTrue(), "%v", err)
	}
}

// TestFullMailbox guards against a sender that blocks on a full mailbox, and against a refused message that is not
// reported to the sender and the observer.
func TestFullMailbox(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		block := make(chan struct{})
		seen := make(refusalRecorder, 1)
		r := startKernel(t, seen, Spec{Name: "a", MailboxSize: 1, Service: &fakeService{handle: func(*Context, Envelope) { <-block }}})
		<-r.Started()
		g.Expect(r.Send("a", text("handled"))).To(gomega.Succeed())
		synctest.Wait()
		g.Expect(r.Send("a", text("queued"))).To(gomega.Succeed())
		var full *MailboxFullError
		g.Expect(errors.As(r.Send("a", text("refused")), &full)).To(gomega.BeTrue())
		g.Expect(<-seen).To(gomega.Equal("a/text"))
		close(block)
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
	})
}

// TestRequestReply guards against replies that are lost, delivered twice or delivered to another request.
func TestRequestReply(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []Message
		asker := &fakeService{start: func(c *Context) error {
			for i := range 3 {
				c.Request("echo", text(strconv.Itoa(i)), func(m Message, err error) { got = append(got, m) })
			}
			c.Request("nobody", text("x"), func(_ Message, err error) {
				var unknown *UnknownServiceError
				g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue())
			})
			return nil
		}}
		echo := &fakeService{handle: func(_ *Context, e Envelope) {
			e.Reply(e.Body)
			e.Reply(text("second answer"))
		}}
		r := startKernel(t, nil, Spec{Name: "echo", Service: echo}, Spec{Name: "asker", Service: asker, DependsOn: []Name{"echo"}})
		<-r.Started()
		synctest.Wait()
		answer, err := Call[text](t.Context(), r.Kernel, "echo", text("outside"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer).To(gomega.Equal(text("outside")))
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf(text("0"), text("1"), text("2")))
	})
}

// TestPublishKeepsLastValue guards against a slow subscriber that never receives the last published message, because
// its mailbox was full when the message was published.
func TestPublishKeepsLastValue(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		block := make(chan struct{})
		var got []Message
		sub := &fakeService{handle: func(_ *Context, e Envelope) { <-block; got = append(got, e.Body) }}
		pub := &fakeService{handle: func(c *Context, e Envelope) {
			for i := range 50 {
				c.Publish(text(strconv.Itoa(i)))
			}
		}}
		r := startKernel(t, nil, Spec{Name: "sub", Service: sub, MailboxSize: 2, Subscriptions: []string{"text"}}, Spec{Name: "pub", Service: pub})
		<-r.Started()
		g.Expect(r.Send("pub", text("go"))).To(gomega.Succeed())
		synctest.Wait()
		close(block)
		time.Sleep(2 * republishDelay)
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(len(got)).To(gomega.BeNumerically("<", 50))
		g.Expect(got[len(got)-1]).To(gomega.Equal(text("49")))
	})
}

// TestTimers guards against timers that fire out of order, too early, or after they are canceled.
func TestTimers(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		begun := time.Now()
		var got []string
		s := &fakeService{
			start: func(c *Context) error {
				c.SendAfter(3*time.Second, text("late"))
				c.SendAfter(time.Second, text("early"))
				c.SendAfter(2*time.Second, text("canceled"))()
				return nil
			},
			handle: func(_ *Context, e Envelope) {
				got = append(got, string(e.Body.(text))+" "+time.Since(begun).String())
			},
		}
		r := startKernel(t, nil, Spec{Name: "a", Service: s})
		time.Sleep(4 * time.Second)
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(got).To(gomega.Equal([]string{"early 1s", "late 3s"}))
	})
}

// TestTasks guards against tasks that outlive their service, and against messages of tasks that are not delivered.
func TestTasks(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []Message
		ended := false
		s := &fakeService{
			start: func(c *Context) error {
				send := c.TaskSender()
				c.Spawn(func(ctx context.Context) Message {
					send(text("posted"))
					<-ctx.Done()
					ended = true
					return text("after the stop")
				})
				c.Spawn(func(context.Context) Message { return text("result") })
				return nil
			},
			handle: func(_ *Context, e Envelope) { got = append(got, e.Body) },
		}
		r := startKernel(t, nil, Spec{Name: "a", Service: s})
		<-r.Started()
		synctest.Wait()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf(text("posted"), text("result")))
		g.Expect(ended).To(gomega.BeTrue())
	})
}

// TestDrainTimeout guards against a shutdown that hangs on a service that never completes its drain.
func TestDrainTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		r := startKernel(t, nil, Spec{Name: "a", DrainTimeout: 3 * time.Second, Service: &fakeService{drain: func(*Context) {}}})
		<-r.Started()
		begun := time.Now()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(time.Since(begun)).To(gomega.Equal(3 * time.Second))
	})
}

// lifecycleRecorder is a LifecycleObserver that records the lifecycle events.
type lifecycleRecorder struct{ events []string }

func (*lifecycleRecorder) MessageRefused(Name, string) {}
func (l *lifecycleRecorder) ServiceStarted(n Name)     { l.events = append(l.events, "started "+string(n)) }

func (l *lifecycleRecorder) ServiceDraining(n Name) {
	l.events = append(l.events, "draining "+string(n))
}

func (l *lifecycleRecorder) ServiceStopped(n Name, complete bool) {
	l.events = append(l.events, "stopped "+string(n)+" "+strconv.FormatBool(complete))
}

// TestLifecycleObserver guards against an incomplete drain that is not reported, and against an abort that drains the
// services.
func TestLifecycleObserver(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		l := &lifecycleRecorder{}
		r := startKernel(t, l, Spec{Name: "a", Service: &fakeService{drain: func(*Context) {}}}, Spec{Name: "b", Service: &fakeService{}})
		<-r.Started()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(l.events).To(gomega.Equal([]string{"started a", "started b", "draining b", "stopped b true", "draining a", "stopped a false"}))

		k, err := New(nil, Spec{Name: "a", Service: &fakeService{drain: func(*Context) { t.Error("drained") }}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(&AbortError{})
		g.Expect(k.Run(ctx)).To(gomega.Succeed())
	})
}

// TestDrainHandlesMessages guards against a service that handles no messages during its drain, so that work in progress
// is not completed.
func TestDrainHandlesMessages(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		var open Envelope
		s := &fakeService{
			handle: func(c *Context, e Envelope) {
				if e.WantsReply() {
					open = e
					c.SendAfter(time.Second, text("done"))
					return
				}
				open.Reply(text("finished"))
				c.CompleteDrain()
			},
			drain: func(*Context) {},
		}
		r := startKernel(t, nil, Spec{Name: "a", Service: s})
		<-r.Started()
		answer := make(chan Message, 1)
		go func() { m, _ := r.Call(t.Context(), "a", text("work")); answer <- m }()
		synctest.Wait()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(<-answer).To(gomega.Equal(text("finished")))
	})
}

// TestStopAnswersEveryEnvelope guards against callers that wait forever for a stopped service: one whose envelope the
// service holds, one whose envelope is held by the callback of a request to another service, and one that calls after
// the stop.
func TestStopAnswersEveryEnvelope(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		holder := &fakeService{handle: func(*Context, Envelope) {}}
		middle := &fakeService{handle: func(c *Context, e Envelope) {
			c.Request("holder", e.Body, func(m Message, err error) {
				e.Fail(err)
				c.Request("holder", text("again"), func(Message, error) {})
			})
		}}
		r := startKernel(t, nil, Spec{Name: "holder", Service: holder}, Spec{Name: "middle", Service: middle, DependsOn: []Name{"holder"}})
		<-r.Started()
		errs := make(chan error, 2)
		for _, n := range []Name{"holder", "middle"} {
			go func() { _, err := r.Call(t.Context(), n, text("x")); errs <- err }()
		}
		synctest.Wait()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		for range 2 {
			var unanswered *UnansweredError
			g.Expect(errors.As(<-errs, &unanswered)).To(gomega.BeTrue())
		}
		_, err := r.Call(t.Context(), "holder", text("late"))
		var stopped *StoppedError
		g.Expect(errors.As(err, &stopped)).To(gomega.BeTrue())
	})
}

// TestAskerOutlivesReceiver guards against a request whose callback is never called because the receiver stops before
// the sender, and against a second call of the callback for a request that got its reply.
func TestAskerOutlivesReceiver(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		var got []string
		receiver := &fakeService{handle: func(_ *Context, e Envelope) {
			if e.Body == text("answered") {
				e.Reply(text("answer"))
			}
		}}
		asker := &fakeService{start: func(c *Context) error {
			for _, m := range []text{"answered", "ignored"} {
				c.Request("receiver", m, func(_ Message, err error) {
					got = append(got, string(m)+" "+strconv.FormatBool(err == nil))
				})
			}
			return nil
		}, drain: func(c *Context) { c.CompleteDrain() }}
		// The receiver depends on the asker, so it starts later and stops earlier.
		r := startKernel(t, nil, Spec{Name: "asker", Service: asker}, Spec{Name: "receiver", Service: receiver, DependsOn: []Name{"asker"}})
		<-r.Started()
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
		g.Expect(got).To(gomega.ConsistOf("answered true", "ignored false"))
	})
}

// TestLateEnvelopes guards against a call that never returns because its envelope enters the mailbox while the service
// stops, after the mailbox has been emptied.
func TestLateEnvelopes(t *testing.T) {
	for range 200 {
		inBubble(t, func(t *testing.T, g *gomega.WithT) {
			r := startKernel(t, nil, Spec{Name: "a", Service: &fakeService{handle: func(_ *Context, e Envelope) { e.Reply(e.Body) }}})
			<-r.Started()
			const calls = 20
			errs := make(chan error, calls)
			for range calls {
				go func() { _, err := r.Call(t.Context(), "a", text("x")); errs <- err }()
			}
			g.Expect(r.stopAndWait()).To(gomega.Succeed())
			for range calls {
				var stopped *StoppedError
				if err := <-errs; err != nil && !errors.As(err, &stopped) {
					t.Fatalf("late call: %v", err)
				}
			}
		})
	}
}

// TestPanics guards against a kernel that continues to run after a panic of a service or task.
func TestPanics(t *testing.T) {
	boom := func() { panic("boom") }
	for name, s := range map[string]*fakeService{
		"start":  {start: func(*Context) error { boom(); return nil }},
		"handle": {handle: func(*Context, Envelope) { boom() }},
		"task": {handle: func(c *Context, _ Envelope) {
			c.Spawn(func(context.Context) Message { boom(); return nil })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *gomega.WithT) {
				r := startKernel(t, nil, Spec{Name: "other", Service: &fakeService{}}, Spec{Name: "a", Service: s})
				_ = r.Send("a", text("x"))
				var p *PanicError
				g.Expect(errors.As(<-r.result, &p)).To(gomega.BeTrue())
				g.Expect(p.Name).To(gomega.Equal(Name("a")))
				g.Expect(slices.Contains([]any{"boom"}, p.Value)).To(gomega.BeTrue())
			})
		})
	}
}

// recoveringService is a fakeService that recovers from panics unless refuse is set.
type recoveringService struct {
	fakeService
	refuse    bool
	recovered []*PanicError
}

func (s *recoveringService) Recover(_ *Context, p *PanicError) bool {
	s.recovered = append(s.recovered, p)
	return !s.refuse
}

// TestRecover guards against a panic of a Recoverer that stops the kernel or leaves the sender of the message without a
// reply, and against one that goes unnoticed: in a handler, in a task, in a timer and in the handling of a reply.
func TestRecover(t *testing.T) {
	boom := func() { panic("boom") }
	for name, handle := range map[string]func(c *Context, e Envelope){
		"handle": func(*Context, Envelope) { boom() },
		"task":   func(c *Context, _ Envelope) { c.Spawn(func(context.Context) Message { boom(); return nil }) },
		"timer": func(c *Context, e Envelope) {
			if e.Body == text("due") {
				boom()
			}
			c.SendAfter(time.Second, text("due"))
		},
		"reply": func(c *Context, _ Envelope) { c.Request("other", text("q"), func(Message, error) { boom() }) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *gomega.WithT) {
				s := &recoveringService{}
				s.handle = func(c *Context, e Envelope) {
					if e.Body == text("ping") {
						e.Reply(text("pong"))
						return
					}
					handle(c, e)
				}
				other := &fakeService{handle: func(_ *Context, e Envelope) { e.Reply(text("a")) }}
				r := startKernel(t, nil, Spec{Name: "other", Service: other}, Spec{Name: "a", Service: s})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := r.Call(ctx, "a", text("x"))
				var p *PanicError
				g.Expect(errors.As(err, &p)).To(gomega.Equal(name == "handle"))
				g.Expect(Call[text](freshContext(t), r, "a", text("ping"))).To(gomega.Equal(text("pong")))
				g.Expect(r.stopAndWait()).To(gomega.Succeed())
				g.Expect(s.recovered).To(gomega.HaveLen(1))
				g.Expect(s.recovered[0].Value).To(gomega.Equal("boom"))
				g.Expect(s.recovered[0].Task).To(gomega.Equal(name == "task"))
			})
		})
	}
	t.Run("refused", func(t *testing.T) {
		inBubble(t, func(t *testing.T, g *gomega.WithT) {
			s := &recoveringService{refuse: true}
			s.handle = func(*Context, Envelope) { boom() }
			r := startKernel(t, nil, Spec{Name: "a", Service: s})
			_ = r.Send("a", text("x"))
			var p *PanicError
			g.Expect(errors.As(<-r.result, &p)).To(gomega.BeTrue())
		})
	})
}

// freshContext returns a context for a call after the one that caused a panic.
func freshContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// panicRecorder is a PanicObserver that takes a moment to record a panic.
type panicRecorder struct{ recorded chan Name }

func (o panicRecorder) MessageRefused(Name, string) {}

func (o panicRecorder) ServiceRecovered(p *PanicError) {
	time.Sleep(time.Second)
	o.recorded <- p.Name
}

// TestPanicObservedBeforeReply guards against a caller that learns of a panic before it is counted.
func TestPanicObservedBeforeReply(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		o := panicRecorder{make(chan Name, 1)}
		r := startKernel(t, o, Spec{Name: "s", Service: &recoveringService{
			fakeService: fakeService{handle: func(*Context, Envelope) { panic("injected") }},
		}})
		_, err := r.Call(t.Context(), "s", text("x"))
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(o.recorded).To(gomega.HaveLen(1))
		g.Expect(r.stopAndWait()).To(gomega.Succeed())
	})
}
