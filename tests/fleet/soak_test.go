package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// envSoakSeeds sets the number of seeds of TestSoak; the first is that of VERBENAFLOW_SEED.
const envSoakSeeds = "VERBENAFLOW_SOAK_SEEDS"

const (
	// soakSeeds is the number of seeds of a normal run.
	soakSeeds = 2
	// soakFaults is the number of faults of a seed, soakPause the longest time between two.
	soakFaults = 12
	soakPause  = 900 * time.Millisecond
	// faultTime is how long a fault lasts at most.
	faultTime = 3 * time.Second
)

// failedSeeds are the seeds that ever failed, with the cause.
var failedSeeds = map[uint64]string{}

// TestSoak guards the promises under random faults that overlap: processes are killed, paused, stopped and restarted,
// the store misbehaves, executors crash, leave and come back, paths are cut, reset and delayed. Clients go on all the time.
func TestSoak(t *testing.T) {
	first, n := uint64(1), soakSeeds
	if v, err := strconv.ParseUint(os.Getenv(testseed.EnvSeed), 10, 64); err == nil {
		first = v
	}
	if v, err := strconv.Atoi(os.Getenv(envSoakSeeds)); err == nil {
		n = v
	}
	for seed := range failedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
	for i := range n {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// load is what the clients of a soak did.
type load struct {
	accepted, refused []workload.JobID
}

func soak(t *testing.T, seed uint64) {
	f := newFleet(t, 3, 5)
	f.ready()
	r := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, faults conc.WaitGroup
	var done load
	clients.Go(func() { done = f.clients(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for range soakFaults {
		time.Sleep(time.Duration(r.Int64N(int64(soakPause))))
		f.inject(r, &faults)
	}
	faults.Wait()
	cancel()
	clients.Wait()
	f.store.SetFault(storestandin.Fault{})
	f.ready()
	for _, id := range done.accepted {
		f.await(id, workload.StateCompleted)
	}
	runs := f.checkExecutors()
	for _, id := range done.refused {
		if runs[id] > 0 {
			t.Errorf("job %s was refused at every attempt and ran", id)
		}
	}
	t.Logf("seed %d: %d jobs accepted, %d refused", seed, len(done.accepted), len(done.refused))
}

// clients hands jobs in until ctx ends. Each has some seconds to be accepted.
func (f *fleet) clients(ctx context.Context, r *rand.Rand) load {
	var out load
	for i := 0; ctx.Err() == nil; i++ {
		id := workload.JobID(fmt.Sprintf("f%015x", i))
		j := job(id, 1+r.IntN(4), time.Duration(50+r.IntN(1500))*time.Millisecond, r.IntN(2) == 0)
		try, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		accepted, refused := f.submit(try, j)
		cancel()
		switch {
		case accepted:
			out.accepted = append(out.accepted, id)
		case refused:
			out.refused = append(out.refused, id)
		}
		time.Sleep(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
	}
	return out
}

// inject begins a fault, which ends by itself.
func (f *fleet) inject(r *rand.Rand, wg *conc.WaitGroup) {
	last := time.Duration(r.Int64N(int64(faultTime)))
	v := f.vms[r.IntN(len(f.vms))]
	e := workload.ExecutorID(fmt.Sprintf("e%d", r.IntN(len(f.executors))))
	during := func(begin, end func()) {
		begin()
		wg.Go(func() {
			time.Sleep(last)
			end()
		})
	}
	cut := func(name string, mode link.Mode) {
		during(func() { f.set(name, mode, 0) }, func() { f.set(name, link.Pass, 0) })
	}
	register := func() { f.store.Set(runner.RegistryPrefix+string(e), runner.EncodeEntry(f.infos[e])) }
	switch r.IntN(12) {
	case 0:
		f.restart(v, syscall.SIGKILL)
	case 1:
		wg.Go(func() { f.restart(v, syscall.SIGTERM) })
	case 2:
		if h := f.holder(); h != nil {
			f.restart(h, syscall.SIGKILL)
		}
	case 3:
		p := v.process()
		during(func() { _ = p.Signal(syscall.SIGSTOP) }, func() { _ = p.Signal(syscall.SIGCONT) })
	case 4:
		fault := []storestandin.Fault{{Busy: true}, {Silent: true}, {Lost: 0.4}}[r.IntN(3)]
		during(func() { f.store.SetFault(fault) }, func() { f.store.SetFault(storestandin.Fault{}) })
	case 5:
		f.store.Compact()
	case 6:
		f.executors[e].Crash()
	case 7:
		during(func() { f.store.Remove(runner.RegistryPrefix + string(e)) }, register)
	case 8:
		cut(v.name, []link.Mode{link.Hold, link.Refuse}[r.IntN(2)])
	case 9:
		cut(string(e), []link.Mode{link.Hold, link.Refuse}[r.IntN(2)])
	case 10:
		during(func() { f.set(string(e), link.Pass, 150*time.Millisecond) }, func() { f.set(string(e), link.Pass, 0) })
	case 11:
		f.store.Set(operator.ConfigKey, operator.EncodeConfig(testConfig(time.Now().UnixNano())))
	}
}
