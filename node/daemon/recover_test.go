package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/listener"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/services/reload"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// waitLimit bounds every wait of a test. It only ends a test that hangs.
const waitLimit = 30 * time.Second

// injectPanic makes a service panic in its handler.
type injectPanic struct{}

func (injectPanic) Kind() string { return "inject_panic" }

// faultyService panics on injectPanic and is otherwise the service that it wraps.
type faultyService struct{ kernel.Recoverer }

func (s faultyService) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(injectPanic); ok {
		panic("injected")
	}
	s.Recoverer.Handle(c, e)
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	l := listenLoopback(t)
	server := &http.Server{Handler: h}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() { server.Close(); wg.Wait() })
	return l.Addr().String()
}

// TestPanicInEachService guards against a process that ends, calls that get no reply and work that starts again because
// one message caused a panic in one of the services of an entry VM.
func TestPanicInEachService(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	store := storestandin.New()
	wg.Go(func() { store.Run(ctx) })
	info := workload.Executor{
		ID: "e", Pool: "pool", Domain: "d", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 4}, Labels: []string{"a", "r"},
		StartedAtMS: time.Now().UnixMilli(),
	}
	executor := runnerstandin.New(info)
	wg.Go(func() { executor.Run(ctx) })
	info.Address = serve(t, runner.NewHandler(info.ID, executor))
	store.Set(runner.RegistryPrefix+"e", runner.EncodeRegistryEntry(info))
	config := &workload.Config{
		Version: 1, Pools: []workload.PoolConfig{{Name: "pool"}}, Accounts: []workload.AccountConfig{{Name: "a", Keys: []string{"k"}}},
		Routes: []workload.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: "pool", Stretch: 3, Latency: time.Second}},
	}
	store.Set(operator.ConfigKey, operator.EncodeConfig(config))

	l := platformListeners{front: listenLoopback(t), ready: listenLoopback(t), relay: listenLoopback(t), admin: listenLoopback(t)}
	s := settings.Platform{
		VM: "vm", Store: serve(t, metastore.NewHandler(store)), Cloud: "127.0.0.1:1", Relay: l.relay.Addr().String(), StoreTimeout: time.Second, ExecutorConns: 2,
		ProcessorShare: 1, Lease: 6 * time.Second, MaxStopTime: 100 * time.Millisecond, RemoteSlowdown: 3, Retention: time.Hour,
		GracePeriod: 3 * time.Second, LameDuck: 50 * time.Millisecond, UpkeepTime: time.Second,
		ClientMemory: 16 << 20, Limits: listener.DefaultLimits(),
	}
	load := func() (message.SettingsChanged, bool, error) { return message.SettingsChanged{}, false, nil }
	o := &observer{vm: s.VM, metrics: metrics.New()}
	services := platformServices(s, l, reload.New("vm", "", load, nil, o.metrics), o.metrics)
	for i := range services {
		recoverer, ok := services[i].Service.(kernel.Recoverer)
		if !ok {
			t.Fatalf("service %s does not recover from panics", services[i].Name)
		}
		services[i].Service = faultyService{recoverer}
	}
	k, err := kernel.New(o, services...)
	if err != nil {
		t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	client := &front.Client{Address: l.front.Addr().String(), Host: "h", Prefix: "/q/", APIKey: "k", Timeout: 3 * time.Second, HTTP: &http.Client{}}
	long := submitAndAwait(t, client, "0000000000000001", time.Hour, workload.StateRunning)
	for i, spec := range services {
		before := strings.Count(o.metrics.Var().String(), `"panics_`)
		callCtx, cancelCall := context.WithTimeout(ctx, waitLimit)
		if _, err := k.Call(callCtx, spec.Name, injectPanic{}); err == nil {
			t.Errorf("%s replied to the message that caused a panic", spec.Name)
		}
		cancelCall()
		if after := strings.Count(o.metrics.Var().String(), `"panics_`); after != before+1 {
			t.Errorf("the panic of %s is not counted", spec.Name)
		}
		id := workload.JobID("000000000000001" + string('0'+rune(i)))
		submitAndAwait(t, client, id, 10*time.Millisecond, workload.StateCompleted)
	}
	if r, err := client.JobState(ctx, long); err != nil || r.State != workload.StateRunning {
		t.Errorf("long job: %+v, %v", r, err)
	}
	starts := 0
	for _, r := range executor.RunRecords() {
		if r.Task.Job == long {
			starts++
		}
	}
	if starts != 1 {
		t.Errorf("the task of the long job was started %d times, want once", starts)
	}
	if err := stop(nil); err != nil {
		t.Errorf("the kernel ended with %v", err)
	}
}

// submitAndAwait submits a job with one task until it is accepted, and waits until the job has a state.
func submitAndAwait(t *testing.T, c *front.Client, id workload.JobID, runTime time.Duration, want workload.State) workload.JobID {
	t.Helper()
	job := &workload.Job{ID: id, Spec: runTime.String(), Steps: []workload.Step{{Count: 1, Need: workload.Resources{GPU: 1}, Estimate: runTime}}}
	accepted := false
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !accepted {
			r, err := c.Submit(t.Context(), job)
			accepted = err == nil && r.Status == http.StatusOK
		} else if r, err := c.JobState(t.Context(), id); err == nil && r.State == want {
			return id
		}
	}
	t.Fatalf("job %s is not %s within %s", id, want, waitLimit)
	return id
}
