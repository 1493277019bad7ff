package slopes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/scheduler"
	"github.com/verbenaflow/verbenaflow/services/store"
	"github.com/verbenaflow/verbenaflow/services/workers"
)

const (
	// account is the client account of all jobs.
	account = "acme"
	// confirmInterval is the interval at which the configuration is confirmed. The scheduler starts no tasks if the last
	// confirmation is older than 2 s.
	confirmInterval = 500 * time.Millisecond
	// controlTimeout limits a call to a stand-in or to the log.
	controlTimeout = 5 * time.Second
	// waitTimeout limits the wait for a state that a measurement depends on.
	waitTimeout = 30 * time.Second
	// submitConcurrency is the number of submissions in progress at a time.
	submitConcurrency = 64
	// jobRunTime is longer than any measurement, so that no job ends during one.
	jobRunTime = time.Hour
	// workerCores and workerMemoryMB are the resources of a worker.
	workerCores    = 30
	workerMemoryMB = 64_000
)

// Jobs of one task.
var (
	oneGPUJob      = singleTaskJob(1)
	wholeWorkerJob = singleTaskJob(model.GPUsPerWorker)
	// cpuOnlyJob requests one core, so that 13 such tasks and a task on each accelerator fit into a worker.
	cpuOnlyJob = model.JobSpec{Account: account, Tasks: 1, CoresPerTask: 1, RunTime: jobRunTime, Preemptible: true}
)

// singleTaskJob returns a job of one task on a number of accelerators.
func singleTaskJob(gpus int) model.JobSpec {
	return model.JobSpec{Account: account, Tasks: 1, GPUsPerTask: gpus, RunTime: jobRunTime, Preemptible: true}
}

// workerVM returns the entry of a stand-in worker in the list of VMs.
func workerVM(d model.FailureDomain, i int, address string) model.VM {
	return model.VM{
		ID: fmt.Sprintf("%s-w%d", d, i), Role: model.RoleWorker, Domain: d, Rack: fmt.Sprintf("%s-rack%d", d, i/model.WorkersPerRack),
		Address: address, Cores: workerCores, MemoryMB: workerMemoryMB,
	}
}

// holder runs the store, workers and scheduler services of a holder. Stubs replace the other services.
type holder struct {
	kernel *kernel.Kernel
	stop   func(cause error) error
	// exchanges counts the exchanges with workers.
	exchanges atomic.Int64
	// exchangesWithCommands counts the exchanges that carry commands, commands the commands in them.
	exchangesWithCommands, commands atomic.Int64
	// runningTasks holds the tasks that were reported as running, runningCount is their number. targetReached gets a
	// message when runningCount is targetCount; initialCount is the count when the holder was ready.
	runningTasks  sync.Map
	runningCount  atomic.Int64
	targetCount   atomic.Int64
	initialCount  int
	targetReached chan struct{}
	// firstHold is closed when the holder sends the hold command of its first task start.
	firstHold      chan struct{}
	closeFirstHold sync.Once
}

// startHolder starts the holder of a failure domain under an epoch.
func startHolder(d model.FailureDomain, epoch uint64, storeAddress string, workerAddresses []string) (*holder, error) {
	h := &holder{targetReached: make(chan struct{}, 1), firstHold: make(chan struct{})}
	m := metrics.New()
	p := &stubPublisher{domain: d, epoch: model.Epoch{Store: epoch}}
	for i, a := range workerAddresses {
		p.workers = append(p.workers, workerVM(d, i, a))
	}
	dial := func(a string) worker.Client { return &countingClient{Client: worker.NewHTTPClient(a), holder: h} }
	vm := model.VMID(fmt.Sprintf("vm-%d", epoch))
	k, err := kernel.New(nil,
		store.New(kv.NewHTTPClient(storeAddress, string(d)), m).Spec(),
		workers.New(vm, d, dial, m).Spec(),
		scheduler.New(d, m).Spec(),
		kernel.Spec{Name: names.Dispatch, Service: &stubDispatch{}},
		kernel.Spec{Name: names.Authority, Service: p},
	)
	if err != nil {
		return nil, errors.Wrap(err, "configure the services of the holder")
	}
	stop, err := k.Start()
	if err != nil {
		return nil, errors.Wrap(err, "start the services of the holder")
	}
	h.kernel, h.stop = k, stop
	return h, nil
}

// abort stops the holder without a drain, like a failure of its VM.
func (h *holder) abort() {
	_ = h.stop(&kernel.AbortError{})
}

// submit submits n jobs of one task each and returns once their acceptance is durable.
func (h *holder) submit(n int, spec model.JobSpec) error {
	pending := make(chan struct{}, n)
	for range n {
		pending <- struct{}{}
	}
	close(pending)
	var wg conc.WaitGroup
	var failure atomic.Pointer[error]
	for range submitConcurrency {
		wg.Go(func() {
			for range pending {
				if err := h.submitJob(spec); err != nil {
					failure.Store(&err)
				}
			}
		})
	}
	wg.Wait()
	if err := failure.Load(); err != nil {
		return errors.Wrap(*err, "submit a job")
	}
	return nil
}

func (h *holder) submitJob(spec model.JobSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := h.kernel.Call(ctx, names.Scheduler, message.JobSubmit{Spec: spec})
	return err
}

// awaitReady waits until the workers have reported their running tasks. awaitRunning does not count these tasks, which
// an earlier holder started.
func (h *holder) awaitReady() {
	time.Sleep(2 * settleTime) // The first exchange interval of each worker is shorter than the others.
	h.initialCount = int(h.runningCount.Load())
}

// awaitRunning returns once n tasks have been reported as running, in addition to those that ran when the holder was
// ready.
func (h *holder) awaitRunning(n int) error {
	n += h.initialCount
	h.targetCount.Store(int64(n))
	if h.runningCount.Load() >= int64(n) {
		return nil
	}
	select {
	case <-h.targetReached:
		return nil
	case <-time.After(waitTimeout):
		return errors.Newf("timed out with %d of %d tasks running", h.runningCount.Load(), n)
	}
}

// countingClient counts the exchanges, the commands and the tasks that are reported as running.
type countingClient struct {
	worker.Client
	holder *holder
}

// Exchange implements worker.Client.
func (c *countingClient) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	h := c.holder
	h.exchanges.Add(1)
	if len(x.Commands) > 0 {
		h.exchangesWithCommands.Add(1)
		h.commands.Add(int64(len(x.Commands)))
	}
	for _, cmd := range x.Commands {
		if cmd.Op == worker.OpHold {
			h.closeFirstHold.Do(func() { close(h.firstHold) })
		}
	}
	r, err := c.Client.Exchange(ctx, x)
	for _, t := range r.Tasks {
		if t.State != model.TaskRunning {
			continue
		}
		if _, known := h.runningTasks.LoadOrStore(t.Task, nil); !known && h.runningCount.Add(1) == h.targetCount.Load() {
			select {
			case h.targetReached <- struct{}{}:
			default:
			}
		}
	}
	return r, err
}

// confirmDue is sent when the next confirmation of the configuration is due.
type confirmDue struct{}

// Kind implements kernel.Message.
func (confirmDue) Kind() string { return "confirm_due" }

// stubPublisher publishes the messages of the authority, membership and config services.
type stubPublisher struct {
	domain  model.FailureDomain
	epoch   model.Epoch
	workers []model.VM
}

// Start implements kernel.Service.
func (p *stubPublisher) Start(c *kernel.Context) error {
	p.publishConfig(c)
	c.Publish(message.MembersChanged{Workers: p.workers})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: p.epoch, Domain: p.domain})
	return nil
}

// publishConfig publishes the configuration as confirmed now and schedules the next confirmation.
func (p *stubPublisher) publishConfig(c *kernel.Context) {
	cfg := model.Config{Version: 1, InForce: "p", Presets: map[string]model.Preset{"p": {
		Accounts: map[model.AccountID]model.AccountPolicy{account: {Weight: 1, MaxQueuedJobs: 1 << 20}},
	}}}
	c.Publish(message.ConfigChanged{Config: cfg, Confirmed: time.Now()})
	c.SendAfter(confirmInterval, confirmDue{})
}

// Drain implements kernel.Service.
func (*stubPublisher) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (p *stubPublisher) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(confirmDue); ok {
		p.publishConfig(c)
	}
}

// stubDispatch replaces the dispatch service. It answers requests for a snapshot with an empty one.
type stubDispatch struct{}

// Start implements kernel.Service.
func (*stubDispatch) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (*stubDispatch) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (*stubDispatch) Handle(_ *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(message.SnapshotGet); ok {
		e.Reply(message.SnapshotReply{})
	}
}
