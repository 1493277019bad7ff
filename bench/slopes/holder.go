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
	// confirmEvery is the interval at which the configuration is confirmed, well below the 2 s limit.
	confirmEvery = 500 * time.Millisecond
	// httpTimeout bounds one control call of a measurement.
	httpTimeout = 5 * time.Second
	// startTimeout bounds the wait for a state that a measurement needs.
	startTimeout = 30 * time.Second
	// submitters is the number of concurrent submissions.
	submitters = 64
	// jobRunTime is longer than any measurement.
	jobRunTime = time.Hour
	// workerCores and workerMemoryMB are the sizes of today's workers.
	workerCores    = 30
	workerMemoryMB = 64_000
)

// Jobs of one task.
var (
	oneGPU      = single(1)
	wholeWorker = single(model.GPUsPerWorker)
	// cpuOnly takes a core, so that 13 of them and a task on each accelerator fit into a worker.
	cpuOnly = model.JobSpec{Account: account, Tasks: 1, CoresPerTask: 1, RunTime: jobRunTime, Preemptible: true}
)

func single(gpus int) model.JobSpec {
	return model.JobSpec{Account: account, Tasks: 1, GPUsPerTask: gpus, RunTime: jobRunTime, Preemptible: true}
}

// workerVM is the entry of the list of VMs for a stand-in worker.
func workerVM(d model.FailureDomain, i int, address string) model.VM {
	return model.VM{
		ID: fmt.Sprintf("%s-w%d", d, i), Role: model.RoleWorker, Domain: d, Rack: fmt.Sprintf("%s-rack%d", d, i/model.WorkersPerRack),
		Address: address, Cores: workerCores, MemoryMB: workerMemoryMB,
	}
}

// holder runs the store, workers and scheduler services of one holder. The other services are replaced by a
// service that publishes what they would.
type holder struct {
	kernel *kernel.Kernel
	stop   func(cause error) error
	// exchanges counts calls to workers.
	exchanges atomic.Int64
	// commanded counts those with commands, commands the commands.
	commanded, commands atomic.Int64
	// seen holds the tasks that were reported as running.
	seen    sync.Map
	running atomic.Int64
	target  atomic.Int64
	earlier int
	reached chan struct{}
	// firstHold is closed when the holder starts its first task.
	firstHold chan struct{}
	once      sync.Once
}

// newHolder starts a holder of a failure domain under an epoch.
func newHolder(d model.FailureDomain, epoch uint64, storeAddress string, fleet []string) (*holder, error) {
	h := &holder{reached: make(chan struct{}, 1), firstHold: make(chan struct{})}
	m := metrics.New()
	n := &neighbours{domain: d, epoch: model.Epoch{Store: epoch}}
	for i, a := range fleet {
		n.workers = append(n.workers, workerVM(d, i, a))
	}
	dial := func(a string) worker.Client { return &observedClient{Client: worker.NewHTTPClient(a), holder: h} }
	vm := model.VMID(fmt.Sprintf("vm-%d", epoch))
	k, err := kernel.New(nil,
		store.New(kv.NewHTTPClient(storeAddress, string(d)), m).Spec(),
		workers.New(vm, d, dial, m).Spec(),
		scheduler.New(d, m).Spec(),
		kernel.Spec{Name: names.Dispatch, Service: &noDispatch{}},
		kernel.Spec{Name: names.Authority, Service: n},
	)
	if err != nil {
		return nil, errors.Wrap(err, "holder")
	}
	stop, err := k.Start()
	if err != nil {
		return nil, errors.Wrap(err, "holder")
	}
	h.kernel, h.stop = k, stop
	return h, nil
}

// abort ends the holder at once, as the loss of its VM does.
func (h *holder) abort() {
	_ = h.stop(&kernel.AbortError{})
}

// submit queues n jobs of one task each and returns once they are durable.
func (h *holder) submit(n int, spec model.JobSpec) error {
	work := make(chan struct{}, n)
	for range n {
		work <- struct{}{}
	}
	close(work)
	var wg conc.WaitGroup
	var failed atomic.Pointer[error]
	for range submitters {
		wg.Go(func() {
			for range work {
				if err := h.submitOne(spec); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return errors.Wrap(*err, "submit")
	}
	return nil
}

func (h *holder) submitOne(spec model.JobSpec) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := h.kernel.Call(ctx, names.Scheduler, message.JobSubmit{Spec: spec})
	return err
}

// ready waits until the workers have reported what runs. Tasks of an earlier holder do not count in await.
func (h *holder) ready() {
	time.Sleep(2 * settle) // The first interval of each worker is shorter than the others.
	h.earlier = int(h.running.Load())
}

// await returns once n tasks were reported as running since the holder was ready.
func (h *holder) await(n int) error {
	n += h.earlier
	h.target.Store(int64(n))
	if h.running.Load() >= int64(n) {
		return nil
	}
	select {
	case <-h.reached:
		return nil
	case <-time.After(startTimeout):
		return errors.Newf("%d of %d tasks run", h.running.Load(), n)
	}
}

// observedClient counts exchanges and the tasks that start.
type observedClient struct {
	worker.Client
	holder *holder
}

// Exchange implements worker.Client.
func (c *observedClient) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	h := c.holder
	h.exchanges.Add(1)
	if len(x.Commands) > 0 {
		h.commanded.Add(1)
		h.commands.Add(int64(len(x.Commands)))
	}
	for _, cmd := range x.Commands {
		if cmd.Op == worker.OpHold {
			h.once.Do(func() { close(h.firstHold) })
		}
	}
	r, err := c.Client.Exchange(ctx, x)
	for _, t := range r.Tasks {
		if t.State != model.TaskRunning {
			continue
		}
		if _, known := h.seen.LoadOrStore(t.Task, nil); !known && h.running.Add(1) == h.target.Load() {
			select {
			case h.reached <- struct{}{}:
			default:
			}
		}
	}
	return r, err
}

type confirmDue struct{}

// Kind implements kernel.Message.
func (confirmDue) Kind() string { return "confirm_due" }

// neighbours publishes what the authority, membership and config services would.
type neighbours struct {
	domain  model.FailureDomain
	epoch   model.Epoch
	workers []model.VM
}

// Start implements kernel.Service.
func (n *neighbours) Start(c *kernel.Context) error {
	n.confirm(c)
	c.Publish(message.MembersChanged{Workers: n.workers})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: n.epoch, Domain: n.domain})
	return nil
}

func (n *neighbours) confirm(c *kernel.Context) {
	cfg := model.Config{Version: 1, InForce: "p", Presets: map[string]model.Preset{"p": {
		Accounts: map[model.AccountID]model.AccountPolicy{account: {Weight: 1, MaxQueuedJobs: 1 << 20}},
	}}}
	c.Publish(message.ConfigChanged{Config: cfg, Confirmed: time.Now()})
	c.After(confirmEvery, confirmDue{})
}

// Drain implements kernel.Service.
func (*neighbours) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (n *neighbours) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(confirmDue); ok {
		n.confirm(c)
	}
}

// noDispatch answers for the dispatch service, which has no state here.
type noDispatch struct{}

// Start implements kernel.Service.
func (*noDispatch) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (*noDispatch) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (*noDispatch) Handle(_ *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(message.SnapshotGet); ok {
		e.Reply(message.SnapshotReply{})
	}
}
