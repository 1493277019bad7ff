package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// checkRunning fails the test if the daemon of a VM has ended by itself.
func (f *fleet) checkRunning() {
	f.t.Helper()
	for _, v := range f.vms {
		c := <-v.current
		select {
		case err := <-c.done:
			f.t.Errorf("%s ended by itself: %v", v.name, err)
			c.done <- err
		default:
		}
		v.current <- c
	}
}

// oddEntry returns the entry of an executor with some fields replaced, for a registry entry of another writer.
func (f *fleet) oddEntry(id workload.ExecutorID, fields map[string]any) []byte {
	f.t.Helper()
	var entry map[string]any
	if err := json.Unmarshal(runner.EncodeRegistryEntry(f.infos[id]), &entry); err != nil {
		f.t.Fatal(err)
	}
	for k, v := range fields {
		entry[k] = v
	}
	b, err := json.Marshal(entry)
	if err != nil {
		f.t.Fatal(err)
	}
	return b
}

// TestOddRegistryEntries guards against daemons that end, stop following the registry or lose work because another
// writer left odd entries in it: beside those of the executors, and for a while in the place of one. A new holder that
// lists the odd entries has to start work, too.
func TestOddRegistryEntries(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitReady()
	other := f.infos["e1"].Address
	// These entries are larger together than one answer of the store may be.
	large := []byte(`"` + strings.Repeat("x", 1<<20-10) + `"`)
	odd := [][]byte{
		[]byte(strings.Repeat("[", 100_000)),
		[]byte(`{"service":` + strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9001)),
		[]byte("\xff\xfe\x00"),
		f.oddEntry("e0", map[string]any{"address": "127.0.0.1:99999"}),
		f.oddEntry("e0", map[string]any{"address": ":0"}),
		f.oddEntry("e0", map[string]any{"capacity": map[string]any{"cpu": int64(1<<63 - 1), "mem_mb": int64(1<<63 - 1), "gpu": int64(1<<63 - 1)}}),
		f.oddEntry("e0", map[string]any{"cold_left_ms": 1e300, "state": "draining", "remaining_ms": -1e300}),
		f.oddEntry("e0", map[string]any{"born": -1}),
		f.oddEntry("e0", map[string]any{"slots": "8", "version": 1, "seq": []int{1}}),
		large, large, large,
	}
	var ids []workload.JobID
	submit := func() {
		ids = append(ids, f.mustSubmit(3, 1200*time.Millisecond, true), f.mustSubmit(1, 3*time.Second, false))
	}
	submit()
	f.awaitState(ids[0], workload.StateRunning)
	// e3 leaves and joins again while the odd entries stay.
	f.store.Remove(runner.RegistryPrefix + "e3")
	f.eventually("no runs on e3", func() bool {
		return !slices.ContainsFunc(f.executors["e3"].RunRecords(), func(r runnerstandin.RunRecord) bool { return r.Ended.IsZero() })
	})
	for i, value := range odd {
		f.store.Set(fmt.Sprintf("%sodd%d", runner.RegistryPrefix, i), value)
	}
	// The entry of an executor with runs is replaced and restored.
	for _, value := range append(odd[:4:4], f.oddEntry("e0", map[string]any{"address": other}), f.oddEntry("e0", map[string]any{"born": int64(1) << 47})) {
		f.store.Set(runner.RegistryPrefix+"e0", value)
		submit()
		time.Sleep(1200 * time.Millisecond)
		f.store.Set(runner.RegistryPrefix+"e0", runner.EncodeRegistryEntry(f.infos["e0"]))
		time.Sleep(300 * time.Millisecond)
	}
	f.store.Set(runner.RegistryPrefix+"e3", runner.EncodeRegistryEntry(f.infos["e3"]))
	// The job needs all executors.
	f.awaitState(f.mustSubmit(16, 100*time.Millisecond, true), workload.StateCompleted)
	holder := f.holder()
	f.restart(holder, syscall.SIGKILL)
	f.awaitState(f.mustSubmit(16, 100*time.Millisecond, true), workload.StateCompleted)
	submit()
	for i := range odd {
		f.store.Set(fmt.Sprintf("%sodd%d", runner.RegistryPrefix, i), odd[(i+1)%len(odd)])
	}
	submit()
	for i := range odd {
		f.store.Remove(fmt.Sprintf("%sodd%d", runner.RegistryPrefix, i))
	}
	submit()
	for _, id := range ids {
		f.awaitState(id, workload.StateCompleted)
	}
	f.checkRunning()
	runs := f.checkExecutors()
	for i, id := range ids {
		want := 3
		if i%2 == 1 {
			want = 1
		}
		if runs[id] != want {
			t.Errorf("job %s: %d runs of tasks, want %d", id, runs[id], want)
		}
	}
	for _, v := range f.vms {
		text, err := os.ReadFile(v.logFile)
		if err != nil {
			t.Fatal(err)
		}
		if n := bytes.Count(text, []byte(`"registry entry ignored"`)); n > 8*len(odd) {
			t.Errorf("%s logged %d ignored entries", v.name, n)
		}
	}
}
