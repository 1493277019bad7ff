package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

var start = time.Unix(1_700_000_000, 0)

// load draws runs of one queue: log-normal run times, some much longer, with a declared time that is off by a uniform
// relative error.
type load struct {
	rand            *rand.Rand
	mean            time.Duration
	spread, off     float64
	tail, tailShare float64
	n               int
}

func newLoad(off, spread float64) *load {
	return &load{rand: rand.New(rand.NewPCG(3, 5)), mean: 5 * time.Second, spread: spread, off: off}
}

func (l *load) draw() Observation {
	work := float64(l.mean) * math.Exp(l.spread*l.rand.NormFloat64())
	if l.rand.Float64() < l.tailShare {
		work *= l.tail
	}
	declared := time.Duration(work * (1 + l.off*(2*l.rand.Float64()-1)))
	l.n++
	return Observation{
		Query:     Query{Queue: "q", Account: workload.Account(fmt.Sprintf("a%d", l.n%10)), Need: workload.Resources{CPU: 3000, GPU: 1 << (l.n % 4)}, Declared: declared},
		Job:       workload.JobID(fmt.Sprint("j", l.n)),
		Executors: []workload.ExecutorID{workload.ExecutorID(fmt.Sprint("e", l.rand.IntN(40)))}, Elapsed: time.Duration(work),
	}
}

// observe adds a run, as the scheduler does.
func observe(m *Model, now time.Time, o Observation) {
	m.ObservePace(now, o)
	m.Observe(now, o)
}

func logError(expected, actual time.Duration) float64 {
	return math.Abs(math.Log(float64(expected) / float64(actual)))
}

// meanErrors returns the mean logarithmic errors of the declared and of the expected run times over further runs.
func (l *load) meanErrors(m *Model, runs int) (declared, learned float64) {
	for range runs {
		o := l.draw()
		declared += logError(o.Declared, o.Elapsed)
		learned += logError(m.Expect(o.Query).Typical, o.Elapsed)
	}
	return declared / float64(runs), learned / float64(runs)
}

// newModel returns a model that knows the executors of the loads.
func newModel() *Model {
	m := New()
	for i := range 40 {
		m.SetExecutor(workload.ExecutorID(fmt.Sprint("e", i)), fmt.Sprint("10.0.0.", i), "a")
	}
	return m
}

func (l *load) teach(m *Model, runs int) {
	for i := range runs {
		observe(m, start.Add(time.Duration(i)*50*time.Millisecond), l.draw())
	}
}

// TestConvergence guards against expectations that trust declared run times too much or too little: the more they are
// off, the larger the share of their error that has to go, and good ones must not become worse.
func TestConvergence(t *testing.T) {
	for _, c := range []struct {
		off, spread, tailShare float64
		// most is the largest ratio of the learned to the declared error.
		most float64
	}{
		{off: 0.2, spread: 0.3, most: 1.1},
		{off: 0.2, spread: 0.5, tailShare: 0.03, most: 1.1},
		{off: 0.5, spread: 0.3, most: 0.85},
		{off: 0.5, spread: 0.3, tailShare: 0.03, most: 0.95},
		{off: 0.9, spread: 0.5, most: 0.75},
		{off: 0.9, spread: 0.3, tailShare: 0.03, most: 0.6},
	} {
		t.Run(fmt.Sprint("off ", c.off, " spread ", c.spread, " tail ", c.tailShare), func(t *testing.T) {
			l, m := newLoad(c.off, c.spread), newModel()
			l.tail, l.tailShare = 7, c.tailShare
			l.teach(m, 400)
			declared, learned := l.meanErrors(m, 2000)
			t.Logf("mean error of the logarithm: declared %.3f, learned %.3f", declared, learned)
			if learned > c.most*declared {
				t.Errorf("learned error %.3f, want at most %.2f times the declared error %.3f", learned, c.most, declared)
			}
			within := 0
			for range 1000 {
				o := l.draw()
				if e := m.Expect(o.Query); o.Elapsed >= e.Low && o.Elapsed <= e.High {
					within++
				}
			}
			if within < 700 || within > 900 {
				t.Errorf("%d of 1000 runs lie between Low and High, want about 800", within)
			}
		})
	}
}

// TestDrift guards against expectations that stay at what runs took before a change, such as a new version of a
// program that takes six times as long as declared.
func TestDrift(t *testing.T) {
	l, m := newLoad(0.2, 0.3), newModel()
	l.teach(m, 1000)
	slower := func() Observation {
		o := l.draw()
		o.Elapsed *= 6
		return o
	}
	// 60 runs of each account.
	for range 600 {
		observe(m, start, slower())
	}
	sum := 0.0
	for range 500 {
		o := slower()
		sum += math.Log(float64(m.Expect(o.Query).Typical) / float64(o.Elapsed))
	}
	if bias := sum / 500; math.Abs(bias) > 0.2 {
		t.Errorf("600 runs after the change expectations are off by a factor of %.2f", math.Exp(bias))
	}
}

// TestCensoring guards against expectations that become too short because the longest runs are stopped before their end,
// and against ones that do not learn from stopped runs at all.
func TestCensoring(t *testing.T) {
	bias := func(stopped bool) float64 {
		l, m := newLoad(0.9, 0.4), newModel()
		for i := range 1500 {
			o := l.draw()
			// Half of the runs are stopped at a random time, if they have not ended by then.
			if stop := time.Duration(l.rand.Float64() * 2 * float64(l.mean)); i%2 == 0 && stop < o.Elapsed {
				o.Elapsed, o.LowerBound = stop, true
				if !stopped {
					continue
				}
			}
			observe(m, start, o)
		}
		sum := 0.0
		for range 1000 {
			o := l.draw()
			sum += math.Log(float64(m.Expect(o.Query).Typical) / float64(o.Elapsed))
		}
		return sum / 1000
	}
	with, without := bias(true), bias(false)
	t.Logf("bias of the logarithm: %.3f with stopped runs, %.3f without", with, without)
	if math.Abs(with) > 0.1 {
		t.Errorf("the expectation is off by a factor of %.2f, want less than 1.1", math.Exp(with))
	}
	if math.Abs(with) > math.Abs(without) {
		t.Errorf("stopped runs make the bias larger: %.3f, without them %.3f", with, without)
	}
}

// TestEarlyStopShowsNothing guards against an expectation that falls because runs are stopped soon after their start.
func TestEarlyStopShowsNothing(t *testing.T) {
	l, m := newLoad(0.5, 0.3), newModel()
	l.teach(m, 200)
	q := l.draw().Query
	before := m.Expect(q)
	for range 500 {
		o := l.draw()
		o.Elapsed, o.LowerBound = 50*time.Millisecond, true
		observe(m, start, o)
	}
	if after := m.Expect(q); after != before {
		t.Errorf("the expectation changed from %+v to %+v", before, after)
	}
}

// shift returns the mean change of the logarithm of the expectation for the accounts of a load.
func shift(l *load, before, after *Model) float64 {
	sum := 0.0
	for range 500 {
		q := l.draw().Query
		sum += math.Log(float64(after.Expect(q).Typical) / float64(before.Expect(q).Typical))
	}
	return sum / 500
}

// maxInfluence bounds the change of the expectation of others, as a factor: the error of a good declared run time, 0.2.
const maxInfluence = 1.2

// TestHostileAccount guards against an account that changes the expectation of others by a flood of runs whose times
// have nothing to do with the declared ones.
func TestHostileAccount(t *testing.T) {
	for name, elapsed := range map[string]time.Duration{"short": time.Millisecond, "long": time.Hour} {
		t.Run(name, func(t *testing.T) {
			l, before, after := newLoad(0.2, 0.3), newModel(), newModel()
			l.teach(before, 500)
			l = newLoad(0.2, 0.3)
			l.teach(after, 500)
			for i := range 5000 {
				o := l.draw()
				o.Account, o.Job, o.Elapsed = "hostile", workload.JobID(fmt.Sprint("h", i)), elapsed
				o.Need.CPU = 1 << (i % 20)
				o.Executors = nil
				observe(after, start, o)
				if i%10 == 0 {
					observe(after, start, l.draw())
				}
			}
			if f := math.Exp(math.Abs(shift(l, before, after))); f > maxInfluence {
				t.Errorf("the expectation of others has changed by a factor of %.2f, want at most %.1f", f, maxInfluence)
			}
		})
	}
}

// TestPoisonedJob guards against one wide job that changes the expectation of others.
func TestPoisonedJob(t *testing.T) {
	l, before, after := newLoad(0.2, 0.3), newModel(), newModel()
	l.teach(before, 100)
	l = newLoad(0.2, 0.3)
	l.teach(after, 100)
	for range 1000 {
		o := l.draw()
		o.Account, o.Job, o.Elapsed = "a1", "poisoned", time.Hour
		observe(after, start, o)
	}
	if f := math.Exp(math.Abs(shift(l, before, after))); f > maxInfluence {
		t.Errorf("the expectation of others has changed by a factor of %.2f, want at most %.1f", f, maxInfluence)
	}
}

// TestLyingExecutor guards against an executor that reports success at once, and therefore ends most of the runs: it
// must not shorten the expectation of the work, and nothing else may look slow beside it.
func TestLyingExecutor(t *testing.T) {
	l, before, after := newLoad(0.2, 0.3), newModel(), newModel()
	l.teach(before, 500)
	l = newLoad(0.2, 0.3)
	l.teach(after, 500)
	now := start.Add(time.Minute)
	for i := range 5000 {
		o := l.draw()
		o.Executors, o.Elapsed = []workload.ExecutorID{"e0"}, 5*time.Millisecond
		now = now.Add(10 * time.Millisecond)
		observe(after, now, o)
		if i%5 == 0 {
			o = l.draw()
			o.Executors[0] = workload.ExecutorID(fmt.Sprint("e", 1+i%39))
			observe(after, now, o)
		}
	}
	if f := math.Exp(math.Abs(shift(l, before, after))); f > maxInfluence {
		t.Errorf("the expectation has changed by a factor of %.2f, want at most %.1f", f, maxInfluence)
	}
	sum := 0.0
	for i := 1; i < 40; i++ {
		sum += math.Log(after.Pace(workload.ExecutorID(fmt.Sprint("e", i))))
	}
	if f := math.Exp(math.Abs(sum / 39)); f > maxInfluence {
		t.Errorf("the pace of the other executors has changed by a factor of %.2f, want at most %.1f", f, maxInfluence)
	}
}

// TestRemaining guards against a remaining time that falls to nothing for a run that exceeds its expectation, and
// against one that ignores how long the run has been going.
func TestRemaining(t *testing.T) {
	l, m := newLoad(0.5, 0.4), newModel()
	l.tail, l.tailShare = 7, 0.03
	l.teach(m, 500)
	q := Query{Queue: "q", Account: "a1", Need: workload.Resources{CPU: 3000, GPU: 2}, Declared: 5 * time.Second}
	typical := m.Expect(q).Typical
	atStart, ok := m.Remaining(q, 1, 0)
	if !ok || logError(atStart, typical) > 0.05 {
		t.Errorf("%v left at the start, want about %v", atStart, typical)
	}
	half, ok := m.Remaining(q, 1, typical/2)
	if !ok || half >= atStart || half < atStart/4 {
		t.Errorf("%v left after half of the typical time, %v at the start", half, atStart)
	}
	if beyond, ok := m.Remaining(q, 1, typical*5/4); !ok || beyond < 100*time.Millisecond {
		t.Errorf("%v left after more than the typical time (%v)", beyond, ok)
	}
	if _, ok := m.Remaining(q, 1, 100*typical); ok {
		t.Error("the remaining time of a run that takes longer than all others is known")
	}
	if slow, _ := m.Remaining(q, 0.5, 0); logError(slow, 2*typical) > 0.05 {
		t.Errorf("%v left on an executor of half the pace, want about %v", slow, 2*typical)
	}
}

// TestUndeclared guards against tasks without a declared run time that are expected to take no time, or that change the
// expectation of those that declare one.
func TestUndeclared(t *testing.T) {
	l, m := newLoad(0.2, 0.3), newModel()
	l.teach(m, 200)
	declared := l.draw().Query
	before := m.Expect(declared)
	if m.Expect(Query{Queue: "q"}).Typical <= 0 {
		t.Error("an unknown task is expected to take no time")
	}
	for range 200 {
		o := l.draw()
		o.Declared = 0
		observe(m, start, o)
	}
	q := declared
	q.Declared = 0
	if e := m.Expect(q); logError(e.Typical, l.mean) > 0.25 {
		t.Errorf("a task without a declared run time is expected to take %v, want about %v", e.Typical, l.mean)
	}
	if after := m.Expect(declared); after != before {
		t.Errorf("the expectation of tasks that declare a run time changed from %v to %v", before, after)
	}
}

// TestProjection guards against run times that are projected from progress although the tasks of the queue report it
// early: half of the progress after a third of the run.
func TestProjection(t *testing.T) {
	l, m := newLoad(0.5, 0.3), newModel()
	l.teach(m, 50)
	q := l.draw().Query
	if got := m.Projected(q, 6*time.Second); got != 6*time.Second {
		t.Errorf("projected run time %v before any run has ended, want 6s", got)
	}
	for range 100 {
		m.ObserveProjection(q, m.Projected(q, 4*time.Second), 6*time.Second)
	}
	if got := m.Projected(q, 8*time.Second); logError(got, 12*time.Second) > 0.05 {
		t.Errorf("projected run time %v, want about 12s", got)
	}
	for range 1000 {
		m.ObserveProjection(q, time.Second, time.Hour)
	}
	if got := m.Projected(q, time.Second); got > 2100*time.Millisecond {
		t.Errorf("projected run time %v after false progress, want at most twice the linear one", got)
	}
}
