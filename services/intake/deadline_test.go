package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// busyStore refuses each transaction after a latency.
type busyStore struct {
	latency time.Duration
	commits int
}

func (s *busyStore) Get(context.Context, string) (metastore.Item, error) {
	return metastore.Item{}, &metastore.NotFoundError{}
}

func (s *busyStore) Commit(ctx context.Context, _ metastore.Txn) (int64, error) {
	s.commits++
	t := time.NewTimer(s.latency)
	defer t.Stop()
	select {
	case <-t.C:
		return 0, &metastore.NotExecutedError{RateLimited: true}
	case <-ctx.Done():
		return 0, &metastore.UnknownOutcomeError{Cause: ctx.Err()}
	}
}

// relayTo is a relay to another VM at a distance of latency one way.
type relayTo struct {
	vm      kernel.Caller
	latency time.Duration
}

type relayed struct {
	env   kernel.Envelope
	reply kernel.Message
	err   error
}

func (relayed) Kind() string { return "relayed" }

func (relayTo) Start(*kernel.Context) error { return nil }
func (relayTo) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (r relayTo) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.RelayCall:
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithTimeout(ctx, m.Timeout)
			defer cancel()
			time.Sleep(r.latency)
			reply, err := r.vm.Call(ctx, kernel.Name(m.To), m.Body)
			time.Sleep(r.latency)
			if errors.Is(err, context.DeadlineExceeded) {
				err = failure.New(failure.HomeUnreachable, "no answer").WithOutcome(failure.Unknown)
			}
			return relayed{e, reply, err}
		})
	case relayed:
		if m.err != nil {
			m.env.Fail(m.err)
			return
		}
		m.env.Reply(m.reply)
	}
}

// publisher publishes messages at its start.
type publisher []kernel.Message

func (p publisher) Start(c *kernel.Context) error {
	for _, m := range p {
		c.Publish(m)
	}
	return nil
}
func (publisher) Handle(*kernel.Context, kernel.Envelope) {}
func (publisher) Drain(c *kernel.Context)                 { c.CompleteDrain() }

// testLimit is the number of cores that the account of the tests may have running.
const testLimit = 8

// startVM starts the intake of a VM that relays calls to another one.
func startVM(t *testing.T, store Store, relay kernel.Service) *kernel.Kernel {
	t.Helper()
	return startVMWith(t, store, relay, testConfig())
}

func testConfig() *workload.Config {
	return &workload.Config{
		Version: 1, Routes: []workload.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: "pool"}},
		Accounts: []workload.AccountConfig{{Name: "a", Keys: []string{"k"}, Limit: workload.Resources{CPU: testLimit * 1000}}, {Name: "b", Keys: []string{"k2"}}},
	}
}

// startVMWith is startVM with a configuration.
func startVMWith(t *testing.T, store Store, relay kernel.Service, config *workload.Config, published ...kernel.Message) *kernel.Kernel {
	t.Helper()
	config.Index()
	k, err := kernel.New(nil, New(Settings{VM: "vm"}, store, metrics.New()).Spec(),
		kernel.Spec{Name: names.Catalog, Service: publisher{}}, kernel.Spec{Name: names.Holder, Service: publisher{}},
		kernel.Spec{Name: names.Relay, Service: relay},
		kernel.Spec{Name: "test", Service: publisher(append(published, message.CatalogChanged{Config: config}, message.HolderChanged{VM: "other", Address: "other"}))})
	if err != nil {
		t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop(nil) })
	return k
}

// TestShortDeadline guards against an unknown outcome of a submission that was certainly refused: with little time left,
// the VM repeats its transaction, or another VM to which it relays the call does, until the refusal of a busy store comes
// after the deadline. The clock is virtual, so that the verdict does not depend on the speed of the machine.
func TestShortDeadline(t *testing.T) {
	for _, storeLatency := range []time.Duration{1, 4, 30, 50, 70, 90, 110} {
		storeLatency *= time.Millisecond
		for left := 400 * time.Millisecond; left <= 3*time.Second; left += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				// VMs of other regions are 30 ms away.
				const distance = 30 * time.Millisecond
				own, remote := &busyStore{latency: storeLatency}, &busyStore{latency: storeLatency}
				other := startVM(t, remote, publisher{})
				vm := startVM(t, own, relayTo{other, distance})
				synctest.Wait()
				start := time.Now()
				_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{
					ClientCall: message.ClientCall{Host: "h", Path: "/q/0000000000000001", Key: "k", Deadline: start.Add(left)},
					Job:        workload.Job{Steps: []workload.Step{{Count: 1}}},
				})
				f := failure.From(err)
				if f.Reason != failure.StoreUnavailable || f.Outcome != failure.NotRun || own.commits == 0 {
					t.Errorf("store latency %v, %v left: %v (%s) after %v and %d + %d transactions, want a refusal as not run",
						storeLatency, left, err, f.Outcome, time.Since(start), own.commits, remote.commits)
				}
				if took := time.Since(start); took > left {
					t.Errorf("store latency %v, %v left: refused after %v", storeLatency, left, took)
				}
			})
		}
	}
}
