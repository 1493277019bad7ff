package runtimes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// unevenLoad draws runs on executors of which a quarter works at 0.55 and the others at 1.2. slowed overrides the pace
// of an executor.
type unevenLoad struct {
	*load
	slowed map[workload.ExecutorID]float64
}

func (l *unevenLoad) pace(e workload.ExecutorID) float64 {
	if p, ok := l.slowed[e]; ok {
		return p
	}
	if e[len(e)-1]%4 == 0 {
		return 0.55
	}
	return 1.2
}

// run draws a run on the given executors.
func (l *unevenLoad) run(executors ...workload.ExecutorID) Observation {
	o := l.draw()
	slowest := math.Inf(1)
	for _, e := range executors {
		slowest = min(slowest, l.pace(e))
	}
	o.Executors, o.Elapsed = executors, time.Duration(float64(o.Elapsed)/slowest)
	return o
}

func (l *unevenLoad) executor() workload.ExecutorID {
	return workload.ExecutorID(fmt.Sprint("e", l.rand.IntN(40)))
}

// expectPaces fails the test for each executor that the model takes for slow although it is fast, or the reverse, beyond
// the permitted number.
func (l *unevenLoad) expectPaces(t *testing.T, m *Model, permitted int) {
	t.Helper()
	wrong := 0
	for i := range 40 {
		e := workload.ExecutorID(fmt.Sprint("e", i))
		if (m.Pace(e) < 0.8) != (l.pace(e) < 0.8) {
			wrong++
		}
	}
	if wrong > permitted {
		t.Errorf("%d of 40 executors are taken for slow or fast wrongly, want at most %d", wrong, permitted)
	}
}

// TestPace guards against paces that are not learned under declared run times that say little, and against expectations
// that depend on which executors get the work: here the slow ones get three times as much as their share.
func TestPace(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.9, 0.4)}, newModel()
	for i := range 800 {
		e := l.executor()
		if i%3 == 0 {
			e = workload.ExecutorID(fmt.Sprint("e", []int{0, 4, 8, 10, 14, 18, 20, 24, 28, 30}[l.rand.IntN(10)]))
		}
		observe(m, start, l.run(e))
	}
	l.expectPaces(t, m, 2)
	_, learned := l.meanErrors(m, 1000)
	if learned > 0.4 {
		t.Errorf("mean error of the logarithm of the work %.2f, want at most 0.4, about what it is on even executors", learned)
	}
	bias := 0.0
	for range 500 {
		o := l.draw()
		bias += math.Log(float64(m.Expect(o.Query).Typical) / float64(o.Elapsed))
	}
	// The typical pace is the mean of the logarithms over the executors.
	typical := 0.25*math.Log(0.55) + 0.75*math.Log(1.2)
	if bias = bias/500 + typical; math.Abs(bias) > 0.15 {
		t.Errorf("the expectation is off by a factor of %.2f", math.Exp(bias))
	}
}

// TestPaceOfGangs guards against gangs that make their fast executors look slow: they run on four executors each, and
// one in three gangs has a slow one among them.
func TestPaceOfGangs(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.5, 0.3)}, newModel()
	for range 1500 {
		observe(m, start, l.run(l.executor(), l.executor(), l.executor(), l.executor()))
	}
	for range 200 {
		observe(m, start, l.run(l.executor()))
	}
	l.expectPaces(t, m, 4)
}

// TestPaceOfDividedWork guards against paces and run times that drift apart together, because slow executors run only
// one queue and fast ones only another: short tasks on fast executors cannot be told from long ones on slow executors.
func TestPaceOfDividedWork(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.5, 0.3)}, newModel()
	for i := range 20_000 {
		e := l.executor()
		o := l.run(e)
		if l.pace(e) < 1 {
			// Jobs of 40 tasks.
			o.Queue, o.Job = "slow", workload.JobID(fmt.Sprint("wide", i/160))
		}
		observe(m, start, o)
	}
	for i := range 40 {
		e := workload.ExecutorID(fmt.Sprint("e", i))
		// The typical pace is the mean of the logarithms over the executors.
		actual := l.pace(e) / math.Exp(0.25*math.Log(0.55)+0.75*math.Log(1.2))
		if p, low, high := m.Pace(e), min(actual, 0.8), max(actual, 1.25); p < low/1.5 || p > high*1.5 {
			t.Errorf("executor %s has pace %.2f, want %.2f to %.2f", e, p, low/1.5, high*1.5)
		}
	}
}

// TestPaceFollowsChange guards against an executor that becomes slow, or recovers, without being noticed within a few
// runs.
func TestPaceFollowsChange(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.2, 0.3), slowed: map[workload.ExecutorID]float64{"e1": 0.3}}, newModel()
	for range 800 {
		if e := l.executor(); e != "e1" {
			observe(m, start, l.run(e))
		}
	}
	for range 4 {
		observe(m, start, l.run("e1"))
	}
	if p := m.Pace("e1"); p > 0.75 {
		t.Errorf("after four slow runs the pace is %.2f, want at most 0.75", p)
	}
	for range 20 {
		observe(m, start, l.run("e1"))
	}
	l.slowed["e1"] = 1.2
	for range 6 {
		observe(m, start, l.run("e1"))
	}
	if p := m.Pace("e1"); p < 0.75 {
		t.Errorf("after six runs at its usual pace the pace is %.2f, want at least 0.75", p)
	}
}

// TestPaceOfNewLife guards against an executor that starts from nothing although its host is known, and against one of
// another kind, or at another address, that starts from the pace of a stranger.
func TestPaceOfNewLife(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.2, 0.3)}, newModel()
	for i := range 10 {
		m.SetExecutor(workload.ExecutorID(fmt.Sprint("b", i)), fmt.Sprint("10.0.1.", i), "b")
		l.slowed = map[workload.ExecutorID]float64{}
	}
	for i := range 2000 {
		observe(m, start, l.run(l.executor()))
		b := workload.ExecutorID(fmt.Sprint("b", i%10))
		l.slowed[b] = 0.5
		observe(m, start, l.run(b))
	}
	m.RemoveExecutor("e0")
	m.SetExecutor("next", "10.0.0.0", "a")
	if p := m.Pace("next"); p > 0.8 {
		t.Errorf("the successor of a slow executor has pace %.2f", p)
	}
	m.SetExecutor("other kind", "10.0.0.0", "b")
	m.SetExecutor("other address", "10.0.2.1", "b")
	kind := 0.0
	for i := range 10 {
		kind += math.Log(m.Pace(workload.ExecutorID(fmt.Sprint("b", i)))) / 10
	}
	for _, id := range []workload.ExecutorID{"other kind", "other address"} {
		if p := m.Pace(id); math.Abs(math.Log(p)-kind) > 0.01 {
			t.Errorf("%s: pace %.2f, want the %.2f of its kind", id, p, math.Exp(kind))
		}
	}
	m.SetExecutor("new kind", "10.0.2.2", "c")
	if p := m.Pace("new kind"); p != 1 {
		t.Errorf("an executor of an unknown kind has pace %.2f, want 1", p)
	}
}
