package fleet

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	cloudstandin "github.com/verbenaflow/verbenaflow/standins/cloud"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// upkeepTime is the duration of the upkeeps of newFleetWithMachines.
const upkeepTime = 500 * time.Millisecond

// newFleetWithMachines starts a fleet whose executors run on machines. An upkeep replaces the executor of a machine by the
// next one.
func newFleetWithMachines(t *testing.T, vms, machines int) (*fleet, *cloudstandin.Cloud, []workload.MachineID) {
	t.Helper()
	platform := cloudstandin.New(upkeepTime)
	l := listen(t)
	f := newFleetWith(t, vms, 2*machines, fmt.Sprintf("cloud = %s\nupkeep_time = %s\n", l.Addr(), upkeepTime))
	ctx, cancel := context.WithCancel(context.Background())
	wg := &conc.WaitGroup{}
	t.Cleanup(func() { cancel(); wg.Wait() })
	var list []cloudstandin.Machine
	var ids []workload.MachineID
	for i := range machines {
		first, second := workload.ExecutorID(fmt.Sprintf("e%d", i)), workload.ExecutorID(fmt.Sprintf("e%d", i+machines))
		id := workload.MachineID(fmt.Sprintf("m%d", i))
		ids = append(ids, id)
		f.store.Remove(runner.RegistryPrefix + string(second))
		list = append(list, cloudstandin.Machine{
			ID: id, Executors: []workload.ExecutorID{first, second},
			OnExecutorStop: func(e workload.ExecutorID) {
				f.executors[e].Crash()
				f.store.Remove(runner.RegistryPrefix + string(e))
			},
			OnExecutorStart: func(e workload.ExecutorID) {
				f.store.Set(runner.RegistryPrefix+string(e), runner.EncodeRegistryEntry(f.infos[e]))
			},
		})
	}
	wg.Go(func() { platform.Run(ctx, list) })
	serve(t, wg, l, cloud.NewHandler(platform))
	return f, platform, ids
}

// TestWaveAcrossHolders guards against a maintenance wave that takes two machines down at a time, skips one, takes one
// down twice or is reported as completed too early, because the holder is killed during the wave. It also guards
// against orders of two holders with the same fencing token.
func TestWaveAcrossHolders(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 3, 3)
	f.awaitReady()
	var jobs []workload.JobID
	for range 3 {
		jobs = append(jobs, f.mustSubmit(2, 1500*time.Millisecond, false))
	}
	key, value := operator.EncodeWave(workload.Wave{Number: 7, Machines: ids, Within: 15 * time.Second, MaxDown: 1})
	f.store.Set(key, value)
	f.eventually("first machine in upkeep", func() bool { return len(platform.History().Orders) > 0 })
	f.restart(f.holder(), syscall.SIGKILL)

	statusKey, want := operator.EncodeWaveStatus(7, true)
	completed := func() bool {
		return slices.ContainsFunc(f.store.Entries(statusKey), func(item metastore.Item) bool { return bytes.Equal(item.Value, want) })
	}
	f.eventually("wave completed", completed)
	history := platform.History()
	seen := map[workload.MachineID]int{}
	for _, o := range history.Orders {
		seen[o.Machine]++
	}
	for _, id := range ids {
		if seen[id] != 1 {
			t.Errorf("machine %s had %d upkeeps of the wave, want 1", id, seen[id])
		}
	}
	if history.MaxInUpkeep != 1 || history.FencedOrders != 0 {
		t.Errorf("at most %d machines down, want 1; %d orders of two holders with one fencing token or out of order, want none", history.MaxInUpkeep, history.FencedOrders)
	}
	for _, id := range jobs {
		f.awaitState(id, workload.StateCompleted)
	}
	f.checkExecutors()
}

// TestCompletedWaveOfEarlierHolder guards against a completed wave that the next holder begins anew, so that its machines
// are evacuated and its status returns to running.
func TestCompletedWaveOfEarlierHolder(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 3, 2)
	f.awaitReady()
	wave := func(n int64, machines []workload.MachineID) (completed func() bool, revision func() int64) {
		key, value := operator.EncodeWave(workload.Wave{Number: n, Machines: machines, Within: 15 * time.Second, MaxDown: 1})
		f.store.Set(key, value)
		statusKey, want := operator.EncodeWaveStatus(n, true)
		completed = func() bool {
			return slices.ContainsFunc(f.store.Entries(statusKey), func(item metastore.Item) bool { return bytes.Equal(item.Value, want) })
		}
		return completed, func() int64 { return f.store.Entries(statusKey)[0].Revision }
	}
	completed, revision := wave(7, ids)
	f.eventually("wave completed", completed)
	recordedAt := revision()
	f.restart(f.holder(), syscall.SIGKILL)
	// The next holder begins both waves in the same step, if it does.
	nextCompleted, _ := wave(8, ids[:1])
	f.eventually("wave of the next holder completed", nextCompleted)
	if !completed() || revision() != recordedAt {
		t.Errorf("status of the completed wave written at revision %d again, was %d", revision(), recordedAt)
	}
	if n := len(platform.History().Orders); n != 3 {
		t.Errorf("%d upkeeps, want 3", n)
	}
}

// TestFirstMachineOfWave guards against work that is thrown away because the first machine of a wave is taken down before
// the holder has said what runs there.
func TestFirstMachineOfWave(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 1, 3)
	f.awaitReady()
	var jobs []workload.JobID
	for range 6 {
		jobs = append(jobs, f.mustSubmit(2, 1500*time.Millisecond, false))
	}
	for _, id := range jobs {
		f.awaitState(id, workload.StateRunning)
	}
	for n := range int64(2) {
		key, value := operator.EncodeWave(workload.Wave{Number: n + 1, Machines: ids[n : n+1], Within: 30 * time.Second, MaxDown: 1})
		f.store.Set(key, value)
	}
	began := time.Now()
	f.eventually("two upkeeps", func() bool { return len(platform.History().Orders) == 2 })
	// The time for the evacuation is 23.5 s: 0.8 of the wave's time without the upkeep.
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("the machines are empty after 1.5 s, and their upkeep was ordered after %v", took)
	}
	for _, id := range jobs {
		f.awaitState(id, workload.StateCompleted)
	}
	if n := f.checkExecutors(); len(n) != len(jobs)+1 {
		t.Errorf("runs of %d jobs, want %d", len(n), len(jobs)+1)
	} else {
		for _, id := range jobs {
			if n[id] != 2 {
				t.Errorf("job %s: %d runs of 2 tasks, although there was time to let them end", id, n[id])
			}
		}
	}
}

// TestLateOrdersOfSharedMachine guards against a wave that is reported as completed although the orders for a machine got
// no answer, because another wave has replaced the machine's executor meanwhile (review/5).
func TestLateOrdersOfSharedMachine(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 2, 3)
	f.awaitReady()
	// An order without an answer is repeated after 2 s.
	platform.DelayOrders(2, 2, 7*time.Second)
	for n, machines := range [][]workload.MachineID{ids[:2], ids[:1]} {
		key, value := operator.EncodeWave(workload.Wave{Number: int64(n + 1), Machines: machines, Within: 20 * time.Second, MaxDown: 1})
		f.store.Set(key, value)
	}
	for n := range int64(2) {
		key, want := operator.EncodeWaveStatus(n+1, true)
		f.eventually("wave completed", func() bool {
			return slices.ContainsFunc(f.store.Entries(key), func(item metastore.Item) bool { return bytes.Equal(item.Value, want) })
		})
		done := map[workload.MachineID]int{}
		for _, o := range platform.History().Orders {
			if o.Wave == n+1 {
				done[o.Machine]++
			}
		}
		if len(done) != 2-int(n) || done[ids[0]] != 1 {
			t.Errorf("wave %d is reported as completed after the upkeep of %v", n+1, done)
		}
	}
}

// TestWaveChangedInProgress guards against a machine that an operator adds to a wave in progress and that never gets its upkeep, and against
// a wave that goes on although the operator has removed it and there is no other one.
func TestWaveChangedInProgress(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 2, 3)
	f.awaitReady()
	set := func(n int64, machines []workload.MachineID) (key string) {
		key, value := operator.EncodeWave(workload.Wave{Number: n, Machines: machines, Within: 5 * time.Second, MaxDown: 1})
		f.store.Set(key, value)
		return key
	}
	upkeeps := func() map[workload.MachineID]int {
		seen := map[workload.MachineID]int{}
		for _, o := range platform.History().Orders {
			seen[o.Machine]++
		}
		return seen
	}
	set(7, ids[:2])
	f.eventually("first machine in upkeep", func() bool { return len(upkeeps()) > 0 })
	set(7, ids)
	statusKey, want := operator.EncodeWaveStatus(7, true)
	f.eventually("wave completed", func() bool {
		return slices.ContainsFunc(f.store.Entries(statusKey), func(item metastore.Item) bool { return bytes.Equal(item.Value, want) })
	})
	if seen := upkeeps(); len(seen) != 3 {
		t.Errorf("the wave is reported as completed after the upkeep of %v", seen)
	}
	before := len(platform.History().Orders)
	// All machines are occupied, so that the upkeep waits for the end of a task until it is due.
	job := f.mustSubmit(12, 8*time.Second, false)
	f.eventually("all tasks run", func() bool { worked, _ := f.workedRuns(job); return worked == 12 })
	key := set(8, ids[:1])
	status8, running := operator.EncodeWaveStatus(8, false)
	f.eventually("wave running", func() bool {
		return slices.ContainsFunc(f.store.Entries(status8), func(item metastore.Item) bool { return bytes.Equal(item.Value, running) })
	})
	f.store.Remove(key)
	f.awaitState(job, workload.StateCompleted)
	if n := len(platform.History().Orders) - before; n != 0 {
		t.Errorf("%d upkeeps of the removed wave", n)
	}
	if n := f.checkExecutors()[job]; n != 12 {
		t.Errorf("%d runs of 12 tasks", n)
	}
}

// TestUpkeepWaitsForMissingTask guards against an upkeep that ends the last task at work of a step that may miss one, because another job
// has taken the room of the missing task.
func TestUpkeepWaitsForMissingTask(t *testing.T) {
	f, platform, ids := newFleetWithMachines(t, 2, 2)
	config := testConfig(2)
	config.Accounts[0].Guaranteed = 0
	urgent := config.Routes[0]
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	config.Routes = append(config.Routes, urgent)
	f.store.Set(operator.ConfigKey, operator.EncodeConfig(config))
	f.awaitReady()
	lasting := job(f.newID(), 2, 0, false)
	lasting.Spec = runnerstandin.ServeSpec(300 * time.Millisecond)
	lasting.Steps[0].Need, lasting.Steps[0].LongRunning, lasting.Steps[0].MayMiss = workload.Resources{CPU: 1000, GPU: 4}, true, 1
	if accepted, _ := f.submit(t.Context(), lasting); !accepted {
		t.Fatal("not accepted")
	}
	present := func() (n int) {
		for _, e := range f.executors {
			for _, r := range e.RunRecords() {
				if r.Task.Job == lasting.ID && r.Ended.IsZero() {
					n++
				}
			}
		}
		return n
	}
	f.eventually("both tasks run", func() bool { return present() == 2 })
	time.Sleep(2 * time.Second)
	key, value := operator.EncodeWave(workload.Wave{Number: 7, Machines: ids, Within: 10 * time.Second, MaxDown: 1})
	f.store.Set(key, value)
	f.eventually("first machine in upkeep", func() bool { return len(platform.History().Orders) > 0 })
	client := f.client(f.vms[0])
	client.Prefix = urgent.Prefix
	other := job(f.newID(), 1, 8*time.Second, false)
	other.Steps[0].Need.GPU = 4
	if r, err := client.Submit(t.Context(), other); err != nil || r.Status/100 != 2 {
		t.Fatalf("%+v, %v", r, err)
	}
	statusKey, want := operator.EncodeWaveStatus(7, true)
	f.eventually("wave completed", func() bool {
		if present() == 0 {
			t.Fatal("no task of the step is left")
		}
		return slices.ContainsFunc(f.store.Entries(statusKey), func(item metastore.Item) bool { return bytes.Equal(item.Value, want) })
	})
	f.awaitState(other.ID, workload.StateCompleted)
	if n := len(platform.History().Orders); n != 2 {
		t.Errorf("%d upkeeps, want 2", n)
	}
}
