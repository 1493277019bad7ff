// Package holder tests the holder service in process, against stand-ins of the store and the executors.
package holder

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/boottime"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/services/holder"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// limitedAccount is an account that may use a single accelerator.
const limitedAccount = "limited"

// waitLimit bounds every wait of a test. It only ends a test that hangs.
const waitLimit = 30 * time.Second

// stub is a service that publishes a message when it starts and ignores all others.
type stub struct{ publish kernel.Message }

func (s stub) Start(c *kernel.Context) error {
	if s.publish != nil {
		c.Publish(s.publish)
	}
	return nil
}
func (stub) Handle(_ *kernel.Context, e kernel.Envelope) { e.Reply(message.Done{}) }
func (stub) Drain(c *kernel.Context)                     { c.CompleteDrain() }

// lateCatalog is a catalog that publishes its configuration when it is called.
type lateCatalog struct{ config message.CatalogChanged }

// publishConfig is the call of a lateCatalog.
type publishConfig struct{}

// Kind implements kernel.Message.
func (publishConfig) Kind() string { return "publish_config" }

func (lateCatalog) Start(*kernel.Context) error { return nil }
func (l lateCatalog) Handle(c *kernel.Context, e kernel.Envelope) {
	c.Publish(l.config)
	e.Reply(message.Done{})
}
func (lateCatalog) Drain(c *kernel.Context) { c.CompleteDrain() }

// suspendableClock is a boottime.Clock that a test moves ahead as a suspension of the machine does.
type suspendableClock struct{ suspended atomic.Int64 }

func (c *suspendableClock) now() time.Duration {
	return boottime.Now() + time.Duration(c.suspended.Load())
}

// environment is a holder service with one executor.
type environment struct {
	t        *testing.T
	store    *storestandin.Store
	executor *runnerstandin.Executor
	clock    *suspendableClock
	kernel   *kernel.Kernel
	metrics  *metrics.Set
	// refuseRecords makes the store refuse to list the progress of jobs, recordReads counts these calls.
	refuseRecords atomic.Bool
	recordReads   atomic.Int64
	// tombstoneRetention is that of the holder; 0 means its default.
	tombstoneRetention time.Duration
	// backlogLimit is the memory that accepted jobs may take; 0 means the default.
	backlogLimit int64
	// advisor answers queries for advice; nil if no queue needs any. adviceTime is the time of a query by the configuration.
	advisor    http.Handler
	adviceTime time.Duration
	// retention is how long the holder keeps the state of finished jobs; 0 means an hour.
	retention time.Duration
	// queueLists counts the lists of jobs and cancellations. holdQueueLists keeps their answers back while it is set, and
	// heldQueueLists counts the answers that are kept back.
	queueLists, heldQueueLists atomic.Int64
	holdQueueLists             atomic.Bool
	// storeTimeout bounds the holder's calls to the store; 0 means a second.
	storeTimeout time.Duration
	// runTimesInterval is that of the holder, which learns run times if it is set.
	runTimesInterval time.Duration
	// prepare is called, if set, once the store runs and before the holder starts.
	prepare func()
	// lateConfig is set if the catalog publishes the configuration only when it is called.
	lateConfig bool
	// refuseRunTimes makes the store refuse to read learned run times.
	refuseRunTimes atomic.Bool
	// startHolder starts the holder, which stopHolder ends as at the end of its VM's service.
	startHolder, stopHolder func()
}

// observeStore counts the calls that list the progress of jobs, and refuses them while refuseRecords is set.
func (env *environment) observeStore(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("prefix") == records.ProgressPrefix {
			env.recordReads.Add(1)
			if env.refuseRecords.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if env.refuseRunTimes.Load() && r.URL.Query().Get("prefix") == records.RunTimesKey {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("prefix") == records.QueuePrefix && !r.URL.Query().Has("wait_ms") {
			env.serveQueueList(h, w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// serveQueueList answers a list of jobs and cancellations. While holdQueueLists is set, the answer is kept back, so that
// the store may change meanwhile.
func (env *environment) serveQueueList(h http.Handler, w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, r)
	if env.holdQueueLists.Load() {
		env.heldQueueLists.Add(1)
		for env.holdQueueLists.Load() && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
	env.queueLists.Add(1)
}

func newEnvironment(t *testing.T) *environment {
	t.Helper()
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}}
	env.start()
	return env
}

func (env *environment) start() {
	t := env.t
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	wg.Go(func() { env.store.Run(ctx) })
	if env.prepare != nil {
		env.prepare()
	}
	storeServer := serve(t, env.observeStore(metastore.NewHandler(env.store)))

	info := workload.Executor{
		ID: "e", Pool: "pool", Domain: "d", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 4}, Labels: []string{"a", "r"},
		StartedAtMS: time.Now().UnixMilli(),
	}
	env.executor = runnerstandin.New(info)
	wg.Go(func() { env.executor.Run(ctx) })
	executorServer := serve(t, runner.NewHandler(info.ID, env.executor))
	info.Address = strings.TrimPrefix(executorServer.URL, "http://")
	env.store.Set(runner.RegistryPrefix+"e", runner.EncodeRegistryEntry(info))

	config := message.CatalogChanged{Config: (&workload.Config{
		Version: 1, Routes: []workload.Route{{
			Name: "q", Pool: "pool", Stretch: 3, Latency: time.Second, Advised: env.advisor != nil, AdviceDecideTime: env.adviceTime, TicketValid: time.Minute,
		}}, Pools: []workload.PoolConfig{{Name: "pool"}},
		Accounts: []workload.AccountConfig{{Name: limitedAccount, Limit: workload.Resources{GPU: 1}}},
	}).Index()}
	var catalog kernel.Service = stub{publish: config}
	if env.lateConfig {
		catalog = lateCatalog{config}
	}
	env.metrics = metrics.New()
	env.startHolder = func() { env.serveHolder(strings.TrimPrefix(storeServer.URL, "http://"), catalog) }
	env.startHolder()
	t.Cleanup(func() { env.stopHolder() })
}

// serveHolder starts a kernel with the holder service.
func (env *environment) serveHolder(storeAddress string, catalog kernel.Service) {
	env.t.Helper()
	var adviceClient *advisor.Client
	if env.advisor != nil {
		adviceClient = advisor.NewClient(strings.TrimPrefix(serve(env.t, env.advisor).URL, "http://"))
	}
	service := holder.New(holder.Settings{
		VM: "vm", Address: "127.0.0.1:1", Weight: 1, Clock: env.clock.now, TombstoneRetention: env.tombstoneRetention, RunTimesInterval: env.runTimesInterval,
		BacklogLimit: env.backlogLimit,
		Fleet: fleet.Settings{
			Lease: 6 * time.Second, HolderLease: fleet.HolderLease, RenewalGrace: fleet.RenewalGrace, PollWait: 50 * time.Millisecond,
			MaxStopTime: 100 * time.Millisecond, RemoteSlowdown: 3, Retention: cmp.Or(env.retention, time.Hour),
			LearnRunTimes: env.runTimesInterval > 0,
		},
	}, metastore.NewClient(storeAddress, cmp.Or(env.storeTimeout, time.Second)), runner.NewClient(2), adviceClient, env.metrics)
	k, err := kernel.New(nil, kernel.Spec{Name: names.Relay, Service: stub{}}, service.Spec(),
		kernel.Spec{Name: names.Catalog, Service: catalog})
	if err != nil {
		env.t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		env.t.Fatal(err)
	}
	env.kernel, env.stopHolder = k, func() { _ = stop(nil) }
}

// serve serves until the test ends. Calls in progress are cut off then.
func serve(t *testing.T, h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	t.Cleanup(func() { _ = server.Config.Close() })
	return server
}

func (env *environment) eventually(what string, holds func() bool) {
	env.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	env.t.Fatalf("%s: the condition does not hold within %s", what, waitLimit)
}

// startLongJob stores a job whose only task runs for an hour and waits until the task runs.
func (env *environment) startLongJob() {
	env.t.Helper()
	job := workload.Job{ID: "0000000000000001", Queue: "q", Spec: time.Hour.String(), Steps: []workload.Step{{Count: 1, Need: workload.Resources{GPU: 1}, Estimate: time.Hour}}}
	env.store.Set(records.JobKey(job.ID), records.Encode(job))
	env.eventually("the task runs", func() bool { return env.starts() == 1 })
}

func (env *environment) starts() int { return len(env.executor.RunRecords()) }

// TestStartAfterSuspension guards against a start by a holder whose machine was suspended for longer than its lease. Its
// monotonic clock, with which the lease seems to be valid, does not count the suspension. The store does not answer
// then, so that the holder learns nothing from it. The case without a suspension shows that the start would come.
func TestStartAfterSuspension(t *testing.T) {
	const observed = 800 * time.Millisecond
	for _, suspended := range []time.Duration{0, 3 * time.Second, 10 * time.Second} {
		t.Run(suspended.String(), func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			env.startLongJob()
			env.clock.suspended.Add(int64(suspended))
			env.store.SetFaults(storestandin.Faults{IgnoreCalls: true})
			// The task ends with the process of its executor and is due again.
			env.executor.Crash()
			if suspended == 0 {
				env.eventually("the task runs again", func() bool { return env.starts() == 2 })
				return
			}
			time.Sleep(observed)
			if n := env.starts(); n != 1 {
				t.Errorf("%d starts, want none after the suspension while the lease is not confirmed", n-1)
			}
			env.store.SetFaults(storestandin.Faults{})
			env.eventually("the task runs again with a confirmed lease", func() bool { return env.starts() == 2 })
		})
	}
}

// TestPermitAfterSuspension guards against an order for a machine by a VM whose lease ended while it was suspended: the
// machine service may not check fencing tokens. A permit must not outlive the lease either.
func TestPermitAfterSuspension(t *testing.T) {
	env := newEnvironment(t)
	env.startLongJob()
	fence := workload.FencingToken(env.store.Entries(records.HolderKey)[0].Revision)
	ask := func(f workload.FencingToken) (message.OrderPermit, error) {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		return kernel.Call[message.OrderPermit](ctx, env.kernel, names.Holder, message.PermitQuery{FencingToken: f})
	}
	p, err := ask(fence)
	if remaining := p.ValidUntil - env.clock.now(); err != nil || remaining <= 0 || remaining > fleet.HolderLease {
		t.Errorf("a permit for another %v, %v", remaining, err)
	}
	if p, err := ask(fence - 1); err == nil {
		t.Errorf("permit %+v for an earlier term", p)
	}
	env.store.SetFaults(storestandin.Faults{IgnoreCalls: true})
	env.clock.suspended.Add(int64(3 * time.Second))
	if p, err := ask(fence); err == nil {
		t.Errorf("permit %+v after the lease has ended", p)
	}
}
