package accountlimit

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
)

func init() { testseed.SetFlags("200") }

// TestRoom guards against a start beyond a limit and against a limit of zero that admits nothing.
func TestRoom(t *testing.T) {
	task := workload.Resources{CPU: 2000, Memory: 100, GPU: 1}
	for name, c := range map[string]struct {
		limit, occupied, need workload.Resources
		want                  int
	}{
		"no limit":                    {need: task, want: math.MaxInt},
		"limit of another resource":   {limit: workload.Resources{GPU: 4}, need: workload.Resources{CPU: 9000}, want: math.MaxInt},
		"whole tasks only":            {limit: workload.Resources{CPU: 5000}, need: task, want: 2},
		"exactly at the limit":        {limit: workload.Resources{GPU: 4}, occupied: workload.Resources{GPU: 3}, need: task, want: 1},
		"scarcest resource":           {limit: workload.Resources{CPU: 50000, GPU: 4}, occupied: workload.Resources{GPU: 2}, need: task, want: 2},
		"beyond a limit that fell":    {limit: workload.Resources{GPU: 4}, occupied: workload.Resources{GPU: 9}, need: task},
		"unrelated resource is above": {limit: workload.Resources{GPU: 4}, occupied: workload.Resources{GPU: 9}, need: workload.Resources{CPU: 1}, want: math.MaxInt},
	} {
		if got := Room(c.limit, c.occupied, c.need); got != c.want {
			t.Errorf("%s: room for %d tasks, want %d", name, got, c.want)
		}
	}
}

// TestNeverFits guards against jobs that are accepted although they can never run, and against the refusal of steps that
// run a few tasks at a time.
func TestNeverFits(t *testing.T) {
	limit := workload.Resources{GPU: 8}
	wide := workload.Step{Count: 9, Need: workload.Resources{GPU: 1}}
	gang := wide
	gang.Gang = true
	large := workload.Step{Count: 1, Need: workload.Resources{GPU: 9}}
	for name, c := range map[string]struct {
		steps []workload.Step
		limit workload.Resources
		want  bool
	}{
		"tasks one by one":          {steps: []workload.Step{wide}, limit: limit},
		"gang":                      {steps: []workload.Step{wide, gang}, limit: limit, want: true},
		"task":                      {steps: []workload.Step{large}, limit: limit, want: true},
		"gang of an unlimited need": {steps: []workload.Step{gang}, limit: workload.Resources{CPU: 1}},
		"no limit":                  {steps: []workload.Step{gang, large}},
	} {
		if _, got := NeverFits(c.limit, c.steps); got != c.want {
			t.Errorf("%s: never fits is %v, want %v", name, got, c.want)
		}
	}
}

func drawResources(t *rapid.T, name string, most int) workload.Resources {
	return workload.Resources{
		CPU: rapid.IntRange(0, most).Draw(t, name+" cpu"), Memory: rapid.IntRange(0, most).Draw(t, name+" memory"), GPU: rapid.IntRange(0, most).Draw(t, name+" gpu"),
	}
}

// TestLedger guards against a sum that drifts from the runs that were counted, and against a room that admits one task
// too many or too few.
func TestLedger(t *testing.T) {
	type run struct {
		account workload.Account
		need    workload.Resources
	}
	rapid.Check(t, func(rt *rapid.T) {
		var (
			ledger Ledger
			runs   []run
		)
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			if len(runs) > 0 && rapid.Bool().Draw(rt, "remove") {
				i := rapid.IntRange(0, len(runs)-1).Draw(rt, "run")
				ledger.Remove(runs[i].account, runs[i].need)
				runs = append(runs[:i], runs[i+1:]...)
			} else {
				r := run{rapid.SampledFrom([]workload.Account{"a", "b", ""}).Draw(rt, "account"), drawResources(rt, "need", 9)}
				ledger.Add(r.account, r.need)
				runs = append(runs, r)
			}
			for _, a := range []workload.Account{"a", "b", ""} {
				var want workload.Resources
				for _, r := range runs {
					if r.account == a {
						want = want.Add(r.need)
					}
				}
				if got := ledger.Occupied(a); got != want {
					rt.Fatalf("account %q occupies %v, want %v", a, got, want)
				}
			}
		}
		limit, need := drawResources(rt, "limit", 40), drawResources(rt, "task", 9)
		occupied := ledger.Occupied("a")
		fits := func(n int) bool { return Missing(limit, occupied, times(need, n)) == workload.Resources{} }
		switch n := Room(limit, occupied, need); {
		case n == math.MaxInt:
			if !fits(1000) {
				rt.Fatalf("unlimited room, yet 1000 tasks of %v beside %v exceed %v", need, occupied, limit)
			}
		case n > 0 && !fits(n) || fits(n+1):
			rt.Fatalf("room for %d tasks of %v beside %v below %v", n, need, occupied, limit)
		}
	})
}

func times(r workload.Resources, n int) workload.Resources {
	return workload.Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// TestUnreported guards against a bound below what the executors that have not reported may run.
func TestUnreported(t *testing.T) {
	tasks, capacity := workload.Resources{CPU: 9000, Memory: 10, GPU: 9}, workload.Resources{CPU: 4000, Memory: 100, GPU: 8}
	u := Unreported{Tasks: tasks, Beside: workload.Resources{CPU: 3000}, Capacity: capacity}
	if got, want := u.Bound(), (workload.Resources{CPU: 7000, Memory: 10, GPU: 8}); got != want {
		t.Errorf("bound %v, want %v: tasks beside the capacity are not bounded by it", got, want)
	}
	u.Unbounded = true
	if got := u.Bound(); got != tasks {
		t.Errorf("bound %v of executors of unknown capacity, want the needs of all tasks, %v", got, tasks)
	}
}
