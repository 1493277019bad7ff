// Package kernel runs named services that talk by typed messages.
//
// Each service is one goroutine that owns its state and reads one bounded mailbox. The kernel starts
// the services in dependency order, delivers messages by name and drains the services in reverse order.
// It has no knowledge of what the services do.
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
	// DefaultMailbox is the mailbox capacity, in messages, of a service that sets none.
	DefaultMailbox = 1024
	// DefaultDrainTimeout bounds the drain of one service that sets no timeout.
	DefaultDrainTimeout = 10 * time.Second
)

// Service is the behaviour that a kernel runs. All methods are called on the service's own goroutine.
type Service interface {
	// Start prepares the service. An error stops the kernel.
	Start(c *Context) error
	// Handle processes one message.
	Handle(c *Context, e Envelope)
	// Drain begins a graceful stop. The service keeps handling messages until it calls Context.Drained.
	Drain(c *Context)
}

// Spec registers a service under a name.
type Spec struct {
	Name    Name
	Service Service
	// After lists the services that start before this one and drain after it.
	After []Name
	// Subscribes lists the kinds of published messages that the service receives.
	Subscribes []string
	// Mailbox is the capacity in messages; 0 means DefaultMailbox.
	Mailbox int
	// DrainTimeout bounds the drain; 0 means DefaultDrainTimeout.
	DrainTimeout time.Duration
}

// Observer is told of refused deliveries. It is called on the goroutine of the sender.
type Observer interface {
	Refused(to Name, kind string)
}

// LifecycleObserver is an Observer that is also told how services start and stop. It is called on the
// goroutine of Run.
type LifecycleObserver interface {
	Observer
	// ServiceStarted reports a service whose Start succeeded.
	ServiceStarted(n Name)
	// ServiceDraining reports the begin of a drain.
	ServiceDraining(n Name)
	// ServiceStopped reports the end of a service; complete is false if its drain did not end in time.
	ServiceStopped(n Name, complete bool)
}

// AbortError is the cause of a context that stops a kernel without a drain, as the end of a process does.
type AbortError struct{}

func (*AbortError) Error() string { return "kernel aborted" }

// Kernel holds the registry of services. Registration ends when Run begins.
type Kernel struct {
	observer Observer
	order    []*runner
	byName   map[Name]*runner
	byKind   map[string][]*runner
	started  chan struct{}
	failed   chan error
	running  atomic.Bool
}

// New returns a kernel that runs the given services.
// It returns a *RegistrationError for a duplicate name, an unknown dependency or a dependency cycle.
func New(o Observer, specs ...Spec) (*Kernel, error) {
	k := &Kernel{
		observer: o,
		byName:   make(map[Name]*runner, len(specs)),
		byKind:   make(map[string][]*runner),
		started:  make(chan struct{}),
		failed:   make(chan error, 1),
	}
	ordered, err := startOrder(specs)
	if err != nil {
		return nil, err
	}
	for _, s := range ordered {
		r := newRunner(k, s)
		k.order = append(k.order, r)
		k.byName[s.Name] = r
		for _, kind := range s.Subscribes {
			k.byKind[kind] = append(k.byKind[kind], r)
		}
	}
	for _, r := range k.order {
		r.ended = make(chan Name, len(k.order))
	}
	return k, nil
}

// Run starts all services, waits until ctx ends, drains the services in reverse start order and returns.
// It returns a *StartError if a service does not start, after a drain of those that did, and a *PanicError
// if a service or task panics. After a panic the services stop without a drain, because a drain would
// depend on the failed service. The same holds if the cause of ctx is an *AbortError.
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
	for _, r := range k.order[n:] {
		r.abandon()
	}
	for i := n - 1; i >= 0; i-- {
		k.order[i].shutdown(graceful)
	}
	return cmp.Or(err, k.failure())
}

// Start runs the kernel in the background and returns once all services have started. stop ends it like a context of
// Run that ends with this cause, waits for it and returns the result of Run. The error is that of Run.
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

// fail records the first failure and stops the kernel.
func (k *Kernel) fail(err error) {
	select {
	case k.failed <- err:
	default:
	}
}

// failure returns a failure that occurred during the drain, or nil.
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

func (k *Kernel) startAll(wg *conc.WaitGroup) (int, error) {
	for i, r := range k.order {
		wg.Go(r.run)
		if err := <-r.ready; err != nil {
			return i + 1, &StartError{Name: r.spec.Name, Cause: err}
		}
		if o, ok := k.observer.(LifecycleObserver); ok {
			o.ServiceStarted(r.spec.Name)
		}
	}
	return len(k.order), nil
}

// Call sends a message from outside the kernel and waits for the answer or the end of ctx. It returns an
// *UnansweredError if the service stops without an answer.
func (k *Kernel) Call(ctx context.Context, to Name, m Message) (Message, error) {
	type answer struct {
		m   Message
		err error
	}
	ch := make(chan answer, 1)
	port := func(m Message, err error) {
		select {
		case ch <- answer{m, err}:
		default:
		}
	}
	taken := new(atomic.Bool)
	if err := k.deliver(to, Envelope{Body: m, port: port, taken: taken}); err != nil {
		return nil, err
	}
	select {
	case a := <-ch:
		return a.m, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.byName[to].finished:
	}
	if taken.Load() {
		select {
		case a := <-ch:
			return a.m, a.err
		default:
			return nil, &UnansweredError{Name: to}
		}
	}
	// The service did not handle the envelope. Whoever takes it out of the mailbox fails it, which may be
	// another late caller.
	select {
	case a := <-ch:
		return a.m, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send delivers a message from outside the kernel without waiting for an answer.
func (k *Kernel) Send(to Name, m Message) error { return k.deliver(to, Envelope{Body: m}) }

// Call is Kernel.Call with a typed answer. It returns a *ReplyTypeError for an answer of another type.
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

// Caller is the part of Kernel that front ends use.
type Caller interface {
	Call(ctx context.Context, to Name, m Message) (Message, error)
}

func (k *Kernel) deliver(to Name, e Envelope) error {
	r, ok := k.byName[to]
	if !ok {
		return &UnknownServiceError{Name: to}
	}
	return r.offer(e)
}

// startOrder sorts the services so that each comes after its dependencies.
func startOrder(specs []Spec) ([]Spec, error) {
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
		for _, n := range s.After {
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
