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

// envSoakSeeds is the environment variable with the number of seeds of TestSoak; VERBENAFLOW_SEED sets the first seed.
const envSoakSeeds = "VERBENAFLOW_SOAK_SEEDS"

const (
	// defaultSeeds is the number of seeds if envSoakSeeds is not set.
	defaultSeeds = 2
	// faultsPerSeed is the number of faults of a seed, maxFaultPause the longest time between two.
	faultsPerSeed = 12
	maxFaultPause = 900 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 3 * time.Second
)

// regressionSeeds holds the seeds that have failed before, with the cause. TestSoak always runs them.
var regressionSeeds = map[uint64]string{}

// TestSoak checks the guarantees of the fleet under random overlapping faults: processes are killed, paused, stopped
// and restarted, the store fails, executors crash, leave and return, network paths are cut, reset and delayed, and the
// output of the daemons is not read for a while. Clients submit jobs all the time. Every second seed runs with the
// optional decisions of the scheduler.
func TestSoak(t *testing.T) {
	first, n := uint64(1), defaultSeeds
	if v, err := strconv.ParseUint(os.Getenv(testseed.EnvSeed), 10, 64); err == nil {
		first = v
	}
	if v, err := strconv.Atoi(os.Getenv(envSoakSeeds)); err == nil {
		n = v
	}
	for seed := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
	for i := range n {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// submissions holds the jobs of the clients by the outcome of their submission, without those of an unknown outcome.
type submissions struct {
	accepted, refused []workload.JobID
}

// soakSettings returns the settings of the VMs for a seed.
func soakSettings(seed uint64) string {
	if seed%2 == 0 {
		return "[scheduling]\nlearn_run_times = true\nchoose_victims = true\n"
	}
	return ""
}

func soak(t *testing.T, seed uint64) {
	f := newFleetWith(t, 3, 5, soakSettings(seed))
	f.awaitReady()
	f.pauseReaders(seed)
	r := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, faults conc.WaitGroup
	var submitted submissions
	clients.Go(func() { submitted = f.submitJobs(ctx, rand.New(rand.NewPCG(seed, 2))) })
	for range faultsPerSeed {
		time.Sleep(time.Duration(r.Int64N(int64(maxFaultPause))))
		f.injectFault(r, &faults)
	}
	faults.Wait()
	cancel()
	clients.Wait()
	f.store.SetFaults(storestandin.Faults{})
	f.awaitReady()
	for _, id := range submitted.accepted {
		f.awaitState(id, workload.StateCompleted)
	}
	runs := f.checkExecutors()
	for _, id := range submitted.refused {
		if runs[id] > 0 {
			t.Errorf("job %s was refused at every attempt and ran", id)
		}
	}
	t.Logf("seed %d: %d jobs accepted, %d refused", seed, len(submitted.accepted), len(submitted.refused))
}

// submitJobs submits jobs until ctx ends. Each is retried for up to 2*callTimeout.
func (f *fleet) submitJobs(ctx context.Context, r *rand.Rand) submissions {
	var out submissions
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

// injectFault begins a random fault, which ends by itself after at most maxFaultDuration.
func (f *fleet) injectFault(r *rand.Rand, faults *conc.WaitGroup) {
	duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
	v := f.vms[r.IntN(len(f.vms))]
	e := workload.ExecutorID(fmt.Sprintf("e%d", r.IntN(len(f.executors))))
	during := func(begin, end func()) {
		begin()
		faults.Go(func() {
			time.Sleep(duration)
			end()
		})
	}
	cut := func(name string, mode link.Mode) {
		during(func() { f.setPath(name, mode, 0) }, func() { f.setPath(name, link.ModePass, 0) })
	}
	register := func() { f.store.Set(runner.RegistryPrefix+string(e), runner.EncodeRegistryEntry(f.infos[e])) }
	switch r.IntN(13) {
	case 0:
		f.restart(v, syscall.SIGKILL)
	case 1:
		faults.Go(func() { f.restart(v, syscall.SIGTERM) })
	case 2:
		if h := f.holder(); h != nil {
			f.restart(h, syscall.SIGKILL)
		}
	case 3:
		p := v.process()
		during(func() { _ = p.Signal(syscall.SIGSTOP) }, func() { _ = p.Signal(syscall.SIGCONT) })
	case 4:
		fault := []storestandin.Faults{{RefuseCalls: true}, {IgnoreCalls: true}, {LoseAnswerShare: 0.4}}[r.IntN(3)]
		during(func() { f.store.SetFaults(fault) }, func() { f.store.SetFaults(storestandin.Faults{}) })
	case 5:
		f.store.Compact()
	case 6:
		f.executors[e].Crash()
	case 7:
		during(func() { f.store.Remove(runner.RegistryPrefix + string(e)) }, register)
	case 8:
		cut(v.name, []link.Mode{link.ModeHold, link.ModeRefuse}[r.IntN(2)])
	case 9:
		cut(string(e), []link.Mode{link.ModeHold, link.ModeRefuse}[r.IntN(2)])
	case 10:
		during(func() { f.setPath(string(e), link.ModePass, 150*time.Millisecond) }, func() { f.setPath(string(e), link.ModePass, 0) })
	case 11:
		f.store.Set(operator.ConfigKey, operator.EncodeConfig(testConfig(time.Now().UnixNano())))
	case 12:
		pause := time.Duration(r.Int64N(int64(500 * time.Millisecond)))
		faults.Go(func() {
			f.restartSilently(e, pause)
			time.Sleep(pause)
			f.setPath(string(e), link.ModeHold, 0)
			time.Sleep(duration)
			f.setPath(string(e), link.ModePass, 0)
		})
	}
}
