package kernel

import (
	"github.com/sourcegraph/conc/panics"
)

// handle passes a message to the service.
func (r *runner) handle(c *Context, e Envelope) {
	r.recoverPanics(c, e, func() { r.spec.Service.Handle(c, e) })
}

// recoverPanics runs f on the goroutine of the service. If f panics and the service is a Recoverer, e is failed and the
// service recovers; otherwise the panic continues and stops the kernel.
func (r *runner) recoverPanics(c *Context, e Envelope, f func()) {
	if _, ok := r.spec.Service.(Recoverer); !ok {
		f()
		return
	}
	if p := try(f); p != nil {
		failed := &PanicError{Name: r.spec.Name, Value: p.Value, Stack: string(p.Stack)}
		if e.Body != nil {
			failed.Kind = e.Body.Kind()
		}
		r.recoverFrom(c, e, failed)
	}
}

// recoverFrom lets a Recoverer restore its state. It panics, which stops the kernel, if the service cannot.
func (r *runner) recoverFrom(c *Context, e Envelope, p *PanicError) {
	// The panic is counted and logged before the caller learns of it.
	if o, ok := r.kernel.observer.(PanicObserver); ok {
		o.ServiceRecovered(p)
	}
	e.Fail(p)
	if !r.spec.Service.(Recoverer).Recover(c, p) {
		panic(p.Value)
	}
}

// catchTaskPanic runs a task. A panic goes to the service if it is a Recoverer, and otherwise stops the kernel.
func (r *runner) catchTaskPanic(done <-chan struct{}, task func()) {
	if _, ok := r.spec.Service.(Recoverer); !ok {
		r.catchPanic(task)
		return
	}
	p := try(task)
	if p == nil {
		return
	}
	select {
	case r.taskPanics <- &PanicError{Name: r.spec.Name, Task: true, Value: p.Value, Stack: string(p.Stack)}:
	case <-done:
	}
}

// try runs f and returns its panic, or nil.
func try(f func()) (p *panics.Recovered) {
	defer func() {
		if v := recover(); v != nil {
			recovered := panics.NewRecovered(1, v)
			p = &recovered
		}
	}()
	f()
	return nil
}
