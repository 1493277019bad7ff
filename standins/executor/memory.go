package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Memory is a client of an executor whose State runs in a kernel of the same process. It makes the same
// errors as the HTTP client.
type Memory struct {
	caller kernel.Caller
	name   kernel.Name
	calls  gauge
	conns  gauge
}

// gauge counts what is open, and its peak.
type gauge struct{ open, peak atomic.Int64 }

func (g *gauge) enter() {
	n := g.open.Add(1)
	for p := g.peak.Load(); n > p && !g.peak.CompareAndSwap(p, n); p = g.peak.Load() {
	}
}

func (g *gauge) leave() { g.open.Add(-1) }

// PeakCalls returns the largest number of calls of this client that were open at the same time.
func (m *Memory) PeakCalls() int64 { return m.calls.peak.Load() }

// PeakConns returns the largest number of connections that this client would have used: one for each call
// and each watch of the notice.
func (m *Memory) PeakConns() int64 { return m.conns.peak.Load() }

// NewMemory returns a client of the State that runs as the service with the given name.
func NewMemory(c kernel.Caller, name kernel.Name) *Memory { return &Memory{caller: c, name: name} }

// Execute implements the platform's Client.
func (m *Memory) Execute(ctx context.Context, c executor.Call) (executor.Answer, error) {
	m.calls.enter()
	defer m.calls.leave()
	m.conns.enter()
	defer m.conns.leave()
	a, err := kernel.Call[answer](ctx, m.caller, m.name, call(c))
	var status *host.StatusError
	switch {
	case err == nil:
		return executor.Answer(a), nil
	case errors.As(err, &status):
		return executor.Answer{}, &executor.BusyError{}
	default:
		return executor.Answer{}, &httpjson.LostError{Cause: err}
	}
}

// Notice implements the platform's Client.
func (m *Memory) Notice(ctx context.Context, after uint64, wait time.Duration) (executor.Notice, error) {
	m.conns.enter()
	defer m.conns.leave()
	n, err := kernel.Call[notice](ctx, m.caller, m.name, query{After: after, WaitMS: wait.Milliseconds()})
	if err != nil {
		return executor.Notice{}, &httpjson.LostError{Cause: err}
	}
	return executor.Notice(n), nil
}

// Close implements the platform's Client.
func (m *Memory) Close() {}

// SetFaults changes what the executor does wrong.
func (m *Memory) SetFaults(ctx context.Context, f Faults) error {
	_, err := m.caller.Call(ctx, m.name, setFaults(f))
	return err
}

// Leave gives the leaving notice.
func (m *Memory) Leave(ctx context.Context) error {
	_, err := m.caller.Call(ctx, m.name, leave{})
	return err
}

// History returns what truly happened.
func (m *Memory) History(ctx context.Context) (History, error) {
	return kernel.Call[History](ctx, m.caller, m.name, historyQuery{})
}
