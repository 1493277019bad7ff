// Package kernel runs named services that communicate by typed messages.
//
// Each service is one goroutine that owns its state and reads one bounded mailbox. The kernel starts
// the services in dependency order, delivers messages by service name and drains the services in reverse order.
// It does not depend on what the services do.
package kernel

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// DefaultMailboxSize is the mailbox capacity, in messages, of a service that sets none.
	DefaultMailboxSize = 1024
	// DefaultDrainTimeout bounds the drain of one service that sets no timeout.
	DefaultDrainTimeout = 10 * time.Second
)

// Service handles the messages of one mailbox. All methods are called on the service's own goroutine.
type Service interface {
	// Start initializes the service. An error stops the kernel.
	Start(c *Context) error
	// Handle processes one message.
	Handle(c *Context, e Envelope)
	// Drain begins a graceful stop. The service keeps handling messages until it calls Context.CompleteDrain.
	Drain(c *Context)
}

// Recoverer is a Service that continues after a panic of its handlers or tasks. A panic in any other service stops the
// kernel.
type Recoverer interface {
	Service
	// Recover restores a consistent state after a panic, which may have left a change of the state half done. The kernel
	// has failed the message that was being handled with p. If Recover returns false or panics, the kernel stops.
	Recover(c *Context, p *PanicError) bool
}

// PanicObserver is an Observer that is also notified of panics from which a service recovers. It is called on the
// goroutine of the service.
type PanicObserver interface {
	ServiceRecovered(p *PanicError)
}

// Spec registers a service under a name.
type Spec struct {
	Name    Name
	Service Service
	// DependsOn lists the services that start before this one and drain after it.
	DependsOn []Name
	// Subscriptions lists the kinds of published messages that the service receives.
	Subscriptions []string
	// MailboxSize is the capacity in messages; 0 means DefaultMailboxSize.
	MailboxSize int
	// DrainTimeout bounds the drain; 0 means DefaultDrainTimeout.
	DrainTimeout time.Duration
}

// Observer is notified of messages that are refused because a mailbox is full. It is called on the goroutine of the
// sender.
type Observer interface {
	MessageRefused(to Name, kind string)
}

// LifecycleObserver is an Observer that is also notified when services start and stop. The lifecycle methods are called
// on the goroutine of Run.
type LifecycleObserver interface {
	Observer
	// ServiceStarted is called after Start of a service has succeeded.
	ServiceStarted(n Name)
	// ServiceDraining is called when the drain of a service begins.
	ServiceDraining(n Name)
	// ServiceStopped is called when a service has stopped. complete is false if it was stopped without a drain or
	// before its drain was complete.
	ServiceStopped(n Name, complete bool)
}

// AbortError is the cancellation cause of a context that stops a kernel without a drain, like the kill of a process.
type AbortError struct{}

func (*AbortError) Error() string { return "kernel aborted" }

// Kernel runs a fixed set of services.
type Kernel struct {
	observer    Observer
	runners     []*runner
	byName      map[Name]*runner
	subscribers map[string][]*runner
	started     chan struct{}
	failed      chan error
	running     atomic.Bool
}

// New returns a kernel that runs the given services.
// It returns a *RegistrationError for a duplicate name, an unknown dependency or a dependency cycle.
func New(o Observer, specs ...Spec) (*Kernel, error) {
	k := &Kernel{
		observer:    o,
		byName:      make(map[Name]*runner, len(specs)),
		subscribers: make(map[string][]*runner),
		started:     make(chan struct{}),
		failed:      make(chan error, 1),
	}
	ordered, err := sortByDependencies(specs)
	if err != nil {
		return nil, err
	}
	for _, s := range ordered {
		r := newRunner(k, s)
		k.runners = append(k.runners, r)
		k.byName[s.Name] = r
		for _, kind := range s.Subscriptions {
			k.subscribers[kind] = append(k.subscribers[kind], r)
		}
	}
	for _, r := range k.runners {
		r.finishedServices = make(chan Name, len(k.runners))
	}
	return k, nil
}

// Run starts all services, waits until ctx is canceled, drains the services in reverse start order and returns.
// If a service fails to start, Run drains those that did and returns a *StartError. If a service or task panics, it
// returns a *PanicError and stops the services without a drain, because a drain would depend on the failed service.
// It also stops them without a drain if the cause of ctx is an *AbortError.
func (k *Kernel) Run(ctx context.Context) error {
	if !k.running.CompareAndSwap(false, true) {
		return &RegistrationError{Reason: "kernel runs once"}
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	n, err := k.startAll(&wg)
	graceful := true
	if err == nil {
		close(k.started)
		select {
		case <-ctx.Done():
			var abort *AbortError
			graceful = !errors.As(context.Cause(ctx), &abort)
		case err = <-k.failed:
			graceful = false
		}
	}
	for _, r := range k.runners[n:] {
		r.closeUnstarted()
	}
	for i := n - 1; i >= 0; i-- {
		k.runners[i].shutdown(graceful)
	}
	return cmp.Or(err, k.failure())
}

// Start calls Run in the background and returns once all services have started, or with the error of Run. stop cancels
// the context of Run with the given cause, waits until Run has returned and returns its result.
func (k *Kernel) Start() (stop func(cause error) error, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ended := make(chan struct{})
	var result error
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(ended)
		result = k.Run(ctx)
	})
	stop = func(cause error) error {
		cancel(cause)
		<-ended
		return result
	}
	select {
	case <-k.started:
		return stop, nil
	case <-ended:
		return nil, stop(nil)
	}
}

// fail records the first failure and makes Run stop the kernel.
func (k *Kernel) fail(err error) {
	select {
	case k.failed <- err:
	default:
	}
}

// failure returns a failure that Run has not received yet, such as one during the drain, or nil.
func (k *Kernel) failure() error {
	select {
	case err := <-k.failed:
		return err
	default:
		return nil
	}
}

// Started returns a channel that is closed once all services have started.
func (k *Kernel) Started() <-chan struct{} { return k.started }

// startAll starts the services in order and returns the number of those whose goroutine runs, which includes one that
// failed to start.
func (k *Kernel) startAll(wg *conc.WaitGroup) (int, error) {
	for i, r := range k.runners {
		wg.Go(r.run)
		if err := <-r.ready; err != nil {
			return i + 1, &StartError{Name: r.spec.Name, Cause: err}
		}
		if o, ok := k.observer.(LifecycleObserver); ok {
			o.ServiceStarted(r.spec.Name)
		}
	}
	return len(k.runners), nil
}

// Call sends a message from outside the kernel and waits for the reply or the end of ctx. It returns an
// *UnansweredError if the service has begun to handle the message and stops without a reply, and a *StoppedError if it
// stops before that.
func (k *Kernel) Call(ctx context.Context, to Name, m Message) (Message, error) {
	type answer struct {
		m   Message
		err error
	}
	ch := make(chan answer, 1)
	respond := func(m Message, err error) {
		select {
		case ch <- answer{m, err}:
		default:
		}
	}
	handled := new(atomic.Bool)
	if err := k.deliver(to, Envelope{Body: m, respond: respond, handled: handled}); err != nil {
		return nil, err
	}
	select {
	case a := <-ch:
		return a.m, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.byName[to].finished:
	}
	if handled.Load() {
		select {
		case a := <-ch:
			return a.m, a.err
		default:
			return nil, &UnansweredError{Name: to}
		}
	}
	// The service did not handle the envelope. It is failed by the goroutine that removes it from the mailbox, which
	// may be that of another caller, so wait for its error.
	select {
	case a := <-ch:
		return a.m, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send delivers a message from outside the kernel that gets no reply. Its errors are those of Context.Send.
func (k *Kernel) Send(to Name, m Message) error { return k.deliver(to, Envelope{Body: m}) }

// Call is Kernel.Call with a typed reply. It returns a *ReplyTypeError for a reply of another type.
func Call[T Message](ctx context.Context, k Caller, to Name, m Message) (T, error) {
	var zero T
	reply, err := k.Call(ctx, to, m)
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(T)
	if !ok {
		return zero, &ReplyTypeError{Name: to, Got: reply}
	}
	return typed, nil
}

// Caller is the part of Kernel for code that calls services on behalf of external clients.
type Caller interface {
	Call(ctx context.Context, to Name, m Message) (Message, error)
}

func (k *Kernel) deliver(to Name, e Envelope) error {
	r, ok := k.byName[to]
	if !ok {
		return &UnknownServiceError{Name: to}
	}
	return r.enqueue(e)
}

// sortByDependencies returns the services in an order in which each follows its dependencies.
func sortByDependencies(specs []Spec) ([]Spec, error) {
	byName := make(map[Name]Spec, len(specs))
	for _, s := range specs {
		if _, dup := byName[s.Name]; dup {
			return nil, &RegistrationError{Name: s.Name, Reason: "registered twice"}
		}
		byName[s.Name] = s
	}
	const visiting, done = 1, 2
	state := make(map[Name]int, len(specs))
	out := make([]Spec, 0, len(specs))
	var visit func(s Spec) error
	visit = func(s Spec) error {
		switch state[s.Name] {
		case done:
			return nil
		case visiting:
			return &RegistrationError{Name: s.Name, Reason: "dependency cycle"}
		}
		state[s.Name] = visiting
		for _, n := range s.DependsOn {
			dep, ok := byName[n]
			if !ok {
				return &RegistrationError{Name: s.Name, Reason: "depends on unknown service " + string(n)}
			}
			if err := visit(dep); err != nil {
				return err
			}
		}
		state[s.Name] = done
		out = append(out, s)
		return nil
	}
	for _, s := range specs {
		if err := visit(s); err != nil {
			return nil, err
		}
	}
	return out, nil
}
