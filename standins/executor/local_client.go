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

// LocalClient is a client of an Executor that runs in a kernel of the same process. It returns errors of the same types
// as the HTTP client.
type LocalClient struct {
	caller kernel.Caller
	name   kernel.Name
	calls  gauge
	conns  gauge
}

// gauge is the number of calls or connections that are open, with its maximum.
type gauge struct{ open, peak atomic.Int64 }

func (g *gauge) increment() {
	n := g.open.Add(1)
	for p := g.peak.Load(); n > p && !g.peak.CompareAndSwap(p, n); p = g.peak.Load() {
	}
}

func (g *gauge) decrement() { g.open.Add(-1) }

// PeakCalls returns the largest number of calls of this client that were open at the same time.
func (m *LocalClient) PeakCalls() int64 { return m.calls.peak.Load() }

// PeakConnections returns the largest number of connections that this client would have used: one for each call
// and each watch of the notice.
func (m *LocalClient) PeakConnections() int64 { return m.conns.peak.Load() }

// NewLocalClient returns a client of the Executor that runs as the service with the given name.
func NewLocalClient(c kernel.Caller, name kernel.Name) *LocalClient {
	return &LocalClient{caller: c, name: name}
}

// Execute implements executor.Client.
func (m *LocalClient) Execute(ctx context.Context, c executor.Call) (executor.Response, error) {
	m.calls.increment()
	defer m.calls.decrement()
	m.conns.increment()
	defer m.conns.decrement()
	a, err := kernel.Call[answer](ctx, m.caller, m.name, call(c))
	var status *host.StatusError
	switch {
	case err == nil:
		return executor.Response(a), nil
	case errors.As(err, &status):
		return executor.Response{}, &executor.BusyError{}
	default:
		return executor.Response{}, &httpjson.ResponseLostError{Cause: err}
	}
}

// Notice implements executor.Client.
func (m *LocalClient) Notice(ctx context.Context, after uint64, wait time.Duration) (executor.Notice, error) {
	m.conns.increment()
	defer m.conns.decrement()
	n, err := kernel.Call[notice](ctx, m.caller, m.name, noticeQuery{After: after, WaitMS: wait.Milliseconds()})
	if err != nil {
		return executor.Notice{}, &httpjson.ResponseLostError{Cause: err}
	}
	return executor.Notice(n), nil
}

// Close implements executor.Client.
func (m *LocalClient) Close() {}

// SetFaults replaces all faults of the executor.
func (m *LocalClient) SetFaults(ctx context.Context, f Faults) error {
	_, err := m.caller.Call(ctx, m.name, setFaults(f))
	return err
}

// Leave makes the executor announce that it is leaving.
func (m *LocalClient) Leave(ctx context.Context) error {
	_, err := m.caller.Call(ctx, m.name, leave{})
	return err
}

// History returns the record of what actually ran.
func (m *LocalClient) History(ctx context.Context) (History, error) {
	return kernel.Call[History](ctx, m.caller, m.name, historyQuery{})
}
