package holder

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/runtimes"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// newLearningEnvironment returns a holder that learns run times and saves them often, beside a store that holds an entry
// of an earlier holder.
func newLearningEnvironment(t *testing.T, entry string, refuse bool) *environment {
	t.Helper()
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, runTimesInterval: 200 * time.Millisecond}
	env.refuseRunTimes.Store(refuse)
	env.prepare = func() {
		if entry != "" {
			env.store.Set(records.RunTimesKey, []byte(entry))
		}
	}
	env.start()
	return env
}

// finishJobs runs short jobs of an account to their end.
func (env *environment) finishJobs(account workload.Account, first, n int) {
	env.t.Helper()
	before := env.starts()
	for i := first; i < first+n; i++ {
		id := workload.JobID(strings.Repeat("0", 12) + strconv.Itoa(1000+i))
		job := workload.Job{ID: id, Queue: "q", Account: account, Spec: "50ms", Steps: []workload.Step{{Count: 1, Need: workload.Resources{GPU: 1}, Estimate: 30 * time.Millisecond}}}
		env.store.Set(records.JobKey(id), records.Encode(job))
	}
	env.eventually("the jobs run", func() bool { return env.starts() >= before+n })
}

// savedAccounts returns the accounts in the saved run times, or nil if there is no valid entry.
func (env *environment) savedAccounts() map[workload.Account]bool {
	out := map[workload.Account]bool{}
	for _, item := range env.store.Entries(records.RunTimesKey) {
		s, err := records.Decode[runtimes.Snapshot](item.Key, item.Value)
		if err != nil || s.Validate() != nil {
			return nil
		}
		for _, g := range s.Groups {
			for _, c := range g.Cells {
				out[c.Account] = true
			}
		}
	}
	return out
}

// earlierRunTimes returns the entry of a holder that has learned from jobs of an account.
func earlierRunTimes(account workload.Account) string {
	m := runtimes.New()
	m.SetExecutor("x", "127.0.0.1:1", "a")
	o := runtimes.Observation{
		Query: runtimes.Query{Queue: "q", Account: account, Declared: time.Second}, Job: "j", Executors: []workload.ExecutorID{"x"}, Elapsed: time.Second,
	}
	m.ObservePace(time.Unix(0, 0), o)
	m.Observe(time.Unix(0, 0), o)
	return string(records.Encode(m.Snapshot()))
}

// TestRunTimesOutliveHolder guards against learned run times that are lost with their holder, or replaced by those of a
// new holder that has not read them, also if the store refuses to return them at first.
func TestRunTimesOutliveHolder(t *testing.T) {
	for name, refuse := range map[string]bool{"read at once": false, "refused at first": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newLearningEnvironment(t, earlierRunTimes("earlier"), refuse)
			// No start waits for the run times.
			env.finishJobs("first", 0, 3)
			if refuse {
				time.Sleep(3 * env.runTimesInterval)
				if saved := env.savedAccounts(); len(saved) != 1 || !saved["earlier"] {
					t.Errorf("the saved run times of accounts %v replace those of the earlier holder, which are not read yet", saved)
				}
				env.refuseRunTimes.Store(false)
				time.Sleep(1500 * time.Millisecond)
			}
			env.finishJobs("second", 10, 3)
			env.eventually("both are saved", func() bool {
				saved := env.savedAccounts()
				return saved["earlier"] && saved["second"]
			})
		})
	}
}

// TestUnusableRunTimes guards against a holder that ends because of a damaged or foreign entry, that uses it, or that
// never replaces it.
func TestUnusableRunTimes(t *testing.T) {
	for name, entry := range map[string]string{
		"not JSON":        "\xff\x00",
		"another type":    `{"Groups":5}`,
		"another version": `{"Version":99,"Groups":[{"Queue":"q"}]}`,
		"out of range":    regexp.MustCompile(`"Projection":[^,}]+`).ReplaceAllString(earlierRunTimes("earlier"), `"Projection":1e300`),
		"no numbers":      `{"Version":1,"Groups":[{"Queue":"q","Declared":true,"Deviations":[]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if entry == earlierRunTimes("earlier") {
				t.Fatal("the entry is not damaged")
			}
			env := newLearningEnvironment(t, entry, false)
			env.finishJobs("first", 0, 3)
			env.eventually("the entry is replaced", func() bool {
				saved := env.savedAccounts()
				return saved["first"] && !saved["earlier"]
			})
		})
	}
}

// TestRunTimesAreSavedSeldom guards against saves that the store has to bear with each run, against saves without a
// change, and against a replaced holder that still saves.
func TestRunTimesAreSavedSeldom(t *testing.T) {
	env := newLearningEnvironment(t, "", false)
	env.finishJobs("first", 0, 1)
	env.eventually("the run times are saved", func() bool { return env.savedAccounts()["first"] })
	revision := func() int64 { return env.store.Entries(records.RunTimesKey)[0].Revision }
	time.Sleep(2 * env.runTimesInterval)
	last, writes := revision(), 0
	time.Sleep(4 * env.runTimesInterval)
	if revision() != last {
		t.Error("the run times are saved without a change")
	}
	begin := time.Now()
	for i := range 8 {
		env.finishJobs("first", 10+10*i, 2)
		if r := revision(); r != last {
			last = r
			writes++
		}
	}
	if most := int(time.Since(begin)/env.runTimesInterval) + 1; writes > most {
		t.Errorf("%d saves in %v, want at most one in %v", writes, time.Since(begin), env.runTimesInterval)
	}
	time.Sleep(2 * env.runTimesInterval)
	env.finishJobs("first", 200, 1)
	env.store.Set(records.HolderKey, records.Encode(records.Holder{VM: "other", Address: "127.0.0.1:9", Incarnation: "other", Term: 99}))
	time.Sleep(3 * env.runTimesInterval)
	for _, item := range env.store.Entries(records.HolderKey) {
		if r := revision(); r > item.Revision {
			t.Error("a replaced holder has saved run times")
		}
	}
}

// TestGaugesEndWithTerm guards against a former holder that shows for ever what its last term knew of queues and accounts.
func TestGaugesEndWithTerm(t *testing.T) {
	t.Parallel()
	env := newLearningEnvironment(t, "", false)
	env.finishJobs("first", 0, 3)
	shown := func(name string) bool { return strings.Contains(env.metrics.Var().String(), strconv.Quote(name)) }
	names := []string{"run_time_error_declared_percent_q", "run_time_error_learned_percent_q", "run_times_cells", "accounts_at_limit", "units_at_account_limit", "jobs_excess_open"}
	env.eventually("the gauges are shown", func() bool {
		return !slices.ContainsFunc(names, func(name string) bool { return !shown(name) })
	})
	env.store.Set(records.HolderKey, records.Encode(records.Holder{VM: "other", Address: "127.0.0.1:9", Incarnation: "other", Term: 99}))
	env.eventually("the term ends", func() bool { return shown("terms_ended") })
	for _, name := range names {
		if shown(name) {
			t.Errorf("gauge %s is shown after the term", name)
		}
	}
}
