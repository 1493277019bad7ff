package upkeep

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const upkeepTime = 2 * time.Second

// fakeCloud is a platform whose machines are down for upkeepTime after an order and come back with another executor.
type fakeCloud struct {
	machines []workload.Machine
	upAt     map[workload.MachineID]time.Time
	restarts int
	maxDown  int
	upkeeps  map[workload.MachineID]int
}

// newWave returns a platform with machines that are up, and a wave of all its machines.
func newWave(machines, maxDown int) (*fakeCloud, workload.Wave) {
	c := &fakeCloud{upAt: map[workload.MachineID]time.Time{}, upkeeps: map[workload.MachineID]int{}}
	spec := workload.Wave{Number: 3, Within: 40 * time.Second, MaxDown: maxDown}
	for i := range machines {
		id := workload.MachineID(fmt.Sprintf("m%d", i))
		c.machines = append(c.machines, workload.Machine{ID: id, Up: true, Executor: workload.ExecutorID(fmt.Sprintf("e%d", i))})
		spec.Machines = append(spec.Machines, id)
	}
	return c, spec
}

func (c *fakeCloud) startUpkeep(now time.Time, id workload.MachineID) {
	for i := range c.machines {
		if c.machines[i].ID == id && c.machines[i].Up {
			c.machines[i].Up, c.machines[i].InUpkeep = false, true
			c.upAt[id] = now.Add(upkeepTime)
			c.upkeeps[id]++
		}
	}
}

// vacated returns the executors that run nothing, without the occupied ones.
func (c *fakeCloud) vacated(occupied ...workload.ExecutorID) []workload.ExecutorID {
	var out []workload.ExecutorID
	for _, m := range c.machines {
		if !slices.Contains(occupied, m.Executor) {
			out = append(out, m.Executor)
		}
	}
	return out
}

func (c *fakeCloud) advance(now time.Time) {
	down := 0
	for i := range c.machines {
		m := &c.machines[i]
		if !m.Up && now.After(c.upAt[m.ID]) {
			c.restarts++
			m.Up, m.InUpkeep, m.Executor = true, false, workload.ExecutorID(fmt.Sprintf("life%d", c.restarts))
		}
		if !m.Up {
			down++
		}
	}
	c.maxDown = max(c.maxDown, down)
}

// TestWave guards against a wave that takes too many machines down at once, takes one down twice, is reported as
// completed too early, or is late. One machine is never empty and another leaves.
func TestWave(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(6, 2)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	began := now
	startReports := 0
	for s.Active() {
		if now.Sub(began) > spec.Within {
			t.Fatal("the wave is late")
		}
		if now.Sub(began) > 5*time.Second && len(c.machines) == 6 {
			// The last machine leaves.
			c.machines = c.machines[:5]
		}
		c.advance(now)
		p := s.Step(now, List{now, c.machines}, c.vacated("e1"))
		if startReports += len(p.StartedWaves); len(p.StartedWaves) > 0 {
			s.MarkStartRecorded(3, 0)
		}
		for _, o := range p.Orders {
			c.startUpkeep(now, o.Machine)
			s.MarkOrdered(o)
			s.MarkBegun(now, o)
		}
		if s.Active() && len(p.CompletedWaves) > 0 {
			t.Fatal("the wave is reported as completed before its end")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.CompletedWaves) != 1 || p.CompletedWaves[0] != 3 {
		t.Errorf("completed %v, want wave 3", p.CompletedWaves)
	}
	if startReports != 1 {
		t.Errorf("the start of the wave was reported %d times", startReports)
	}
	s.MarkCompletionRecorded(3, 0)
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.CompletedWaves) != 0 {
		t.Errorf("completion reported again: %v", p.CompletedWaves)
	}
	if c.maxDown > spec.MaxDown {
		t.Errorf("%d machines down at once", c.maxDown)
	}
	for id, n := range c.upkeeps {
		if n != 1 {
			t.Errorf("%s had %d upkeeps", id, n)
		}
	}
	if len(c.upkeeps) != 5 {
		t.Errorf("%d machines had their upkeep, want 5", len(c.upkeeps))
	}
}

// TestWaveOfNewHolder guards against a new holder that takes a machine down while another is still in upkeep by the
// order of an earlier holder, and against a wave that waits for a machine which is down for another reason.
func TestWaveOfNewHolder(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(4, 1)
	c.machines[3].Up = false
	c.upAt["m3"] = now.Add(15 * time.Second)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	for step := 0; s.Active(); step++ {
		if step > 400 {
			t.Fatal("the wave is late")
		}
		if step%7 == 6 && step < 60 {
			s = New(upkeepTime)
			s.SetWaves(now, []workload.Wave{spec})
		}
		c.advance(now)
		for _, o := range s.Step(now, List{now, c.machines}, c.vacated()).Orders {
			c.startUpkeep(now, o.Machine)
			s.MarkOrdered(o)
			s.MarkBegun(now, o)
		}
		if n := c.inUpkeep(); n > spec.MaxDown {
			t.Fatalf("%d machines in upkeep after %v, want at most %d", n, now.Sub(time.Unix(0, 0)), spec.MaxDown)
		}
		if now.Sub(time.Unix(0, 0)) == 14*time.Second && len(c.upkeeps) < 3 {
			t.Errorf("%d machines had their upkeep before the last one was back, want 3", len(c.upkeeps))
		}
		now = now.Add(100 * time.Millisecond)
	}
	if len(c.upkeeps) != 4 {
		t.Errorf("%d machines had their upkeep, want 4", len(c.upkeeps))
	}
}

func (c *fakeCloud) inUpkeep() int {
	n := 0
	for i := range c.machines {
		if c.machines[i].InUpkeep {
			n++
		}
	}
	return n
}

// TestUnansweredOrder guards against a machine that counts as maintained because its executor was replaced, although its
// order was lost: by a crash, or by the upkeep of another wave (review/5).
func TestUnansweredOrder(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(1, 1)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	orders := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		p := s.Step(now, List{now, c.machines}, c.vacated())
		if len(p.CompletedWaves) > 0 {
			t.Fatalf("completed after %d orders, none of which was answered", orders)
		}
		for _, o := range p.Orders {
			orders++
			s.MarkOrdered(o)
			s.MarkUnproven(o)
			c.machines[0].Executor = workload.ExecutorID(fmt.Sprintf("after%d", orders))
		}
	}
	if orders < 50 {
		t.Errorf("%d orders in 100 steps", orders)
	}
	s.MarkBegun(now, Order{spec.Number, "m0"})
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.CompletedWaves) > 0 {
		t.Error("completed by a list that was requested before the begin")
	}
	now = now.Add(100 * time.Millisecond)
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.CompletedWaves) != 1 {
		t.Error("not completed")
	}
}

// TestLateOrderOfEarlierHolder guards against too many machines in upkeep because an order of the earlier holder is
// carried out while the next one waits for a machine to be empty.
func TestLateOrderOfEarlierHolder(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(2, 1)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	if p := s.Step(now, List{now, c.machines}, c.vacated("e0")); len(p.Orders) > 0 {
		t.Fatalf("orders %v for an occupied machine", p.Orders)
	}
	c.startUpkeep(now, "m1")
	now = now.Add(tick)
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Orders) > 0 {
		t.Fatalf("orders %v while a machine is in upkeep", p.Orders)
	}
	now = now.Add(2 * upkeepTime)
	c.advance(now)
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Orders) != 1 {
		t.Fatalf("orders %v after the upkeep of the other machine, want one", p.Orders)
	}
}

// TestOccupancyUnknown guards against a machine that is taken down before it is known whether tasks run there, and against
// a wave that waits for this knowledge for ever.
func TestOccupancyUnknown(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(2, 1)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	evacuationTime := s.evacuationTime(s.waves[spec.Number])
	if evacuationTime <= 0 {
		t.Fatalf("evacuation time %v", evacuationTime)
	}
	for ; now.Before(time.Unix(0, 0).Add(evacuationTime)); now = now.Add(tick) {
		p := s.Step(now, List{now, c.machines}, nil)
		if len(p.Orders) > 0 {
			t.Fatalf("orders %v after %v, although tasks may be running", p.Orders, now.Sub(time.Unix(0, 0)))
		}
		if !slices.Equal(p.Evacuate, []workload.ExecutorID{"e0"}) {
			t.Fatalf("evacuated: %v", p.Evacuate)
		}
	}
	if p := s.Step(now, List{now, c.machines}, nil); len(p.Orders) != 1 {
		t.Errorf("orders %v after the time for the evacuation, want one", p.Orders)
	}
}

// TestMachineStaysDown guards against a wave that stops at a machine which goes down for good: before its order, while it is
// evacuated, or with an order that is refused because it is down. Its wave must not be completed either.
func TestMachineStaysDown(t *testing.T) {
	for _, refused := range []bool{false, true} {
		now := time.Unix(0, 0)
		c, spec := newWave(3, 1)
		s := New(upkeepTime)
		s.SetWaves(now, []workload.Wave{spec})
		s.Step(now, List{now, c.machines}, nil)
		if refused {
			p := s.Step(now, List{now, c.machines}, c.vacated())
			if len(p.Orders) != 1 || p.Orders[0].Machine != "m0" {
				t.Fatalf("orders %v, want one for m0", p.Orders)
			}
			s.MarkOrdered(p.Orders[0])
			s.MarkRefused(p.Orders[0])
		}
		c.machines[0].Up = false
		c.upAt["m0"] = now.Add(time.Hour)
		for range 200 {
			now = now.Add(tick)
			c.advance(now)
			p := s.Step(now, List{now, c.machines}, c.vacated())
			if len(p.CompletedWaves) > 0 {
				t.Error("the wave is completed without the machine that stays down")
			}
			for _, o := range p.Orders {
				c.startUpkeep(now, o.Machine)
				s.MarkOrdered(o)
				s.MarkBegun(now, o)
			}
		}
		if c.upkeeps["m1"] != 1 || c.upkeeps["m2"] != 1 {
			t.Errorf("order refused %v: upkeeps %v, want one of m1 and m2 each", refused, c.upkeeps)
		}
	}
}

// TestMissingMachine guards against a wave that is completed because the lists miss a machine that exists, and against
// one that waits for ever for a machine that does not exist any more.
func TestMissingMachine(t *testing.T) {
	for _, gone := range []bool{false, true} {
		now := time.Unix(0, 0)
		_, spec := newWave(1, 1)
		s := New(upkeepTime)
		s.SetWaves(now, []workload.Wave{spec})
		orders := 0
		for s.Active() && orders == 0 {
			if now.Sub(time.Unix(0, 0)) > spec.Within {
				t.Fatal("no order for the missing machine")
			}
			now = now.Add(tick)
			for _, o := range s.Step(now, List{now, nil}, nil).Orders {
				orders++
				s.MarkOrdered(o)
				if gone {
					s.MarkNotNeeded(o)
				} else {
					s.MarkUnproven(o)
				}
			}
		}
		if orders == 0 || s.Active() == gone {
			t.Errorf("machine is gone %v: %d orders, wave is active %v", gone, orders, s.Active())
		}
	}
}

// TestChangedWave guards against an operator's change of a wave in progress that has no effect, and against a wave that is reported as
// completed without a machine that was added to it.
func TestChangedWave(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(4, 1)
	first := spec
	first.Machines, first.Revision = spec.Machines[:3], 1
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{first})
	run := func(d time.Duration) (completed []int64) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			c.advance(now)
			p := s.Step(now, List{now, c.machines}, c.vacated())
			for _, o := range p.Orders {
				c.startUpkeep(now, o.Machine)
				s.MarkOrdered(o)
				s.MarkBegun(now, o)
			}
			for _, n := range p.CompletedWaves {
				completed = append(completed, n)
				s.MarkCompletionRecorded(n, s.Revision(n))
			}
		}
		return completed
	}
	run(time.Second)
	// m2 is taken out before its turn, and m3 is added.
	changed := spec
	changed.Machines, changed.Revision = []workload.MachineID{"m0", "m1", "m3"}, 2
	s.SetWaves(now, []workload.Wave{changed})
	if s.MarkCompletionRecorded(3, 1); !s.Active() {
		t.Error("a completion by the earlier order counts")
	}
	completed := run(30 * time.Second)
	if len(completed) != 1 || c.upkeeps["m0"] != 1 || c.upkeeps["m1"] != 1 || c.upkeeps["m2"] != 0 || c.upkeeps["m3"] != 1 {
		t.Errorf("completed %v, upkeeps %v", completed, c.upkeeps)
	}
	// A machine that is added to the completed wave brings it back into progress.
	changed.Machines, changed.Revision = spec.Machines, 3
	s.SetWaves(now, []workload.Wave{changed})
	if p := s.Step(now, List{now, c.machines}, nil); len(p.StartedWaves) != 1 || len(p.CompletedWaves) != 0 {
		t.Errorf("started %v, completed %v", p.StartedWaves, p.CompletedWaves)
	}
	s.MarkStartRecorded(3, 3)
	if completed := run(30 * time.Second); len(completed) != 1 || c.upkeeps["m2"] != 1 {
		t.Errorf("completed %v, upkeeps %v", completed, c.upkeeps)
	}
	// The last wave is removed while a machine is evacuated.
	last := workload.Wave{Number: 4, Revision: 4, Machines: []workload.MachineID{"m0"}, Within: time.Minute, MaxDown: 1}
	s.SetWaves(now, []workload.Wave{last})
	if p := s.Step(now, List{now, c.machines}, nil); len(p.Evacuate) != 1 {
		t.Errorf("evacuates %v", p.Evacuate)
	}
	s.SetWaves(now, nil)
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Evacuate)+len(p.Orders)+len(p.CompletedWaves)+len(p.StartedWaves) != 0 || s.Active() {
		t.Errorf("%+v", p)
	}
}

// TestWithdrawnMachineCountsAsDown guards against more machines in upkeep than the limit allows after one of them was taken out of its wave.
func TestWithdrawnMachineCountsAsDown(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(2, 1)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	// The order for m0 gets no answer, and may be carried out late.
	p := s.Step(now, List{now, c.machines}, c.vacated())
	p = s.Step(now, List{now, c.machines}, c.vacated())
	if len(p.Orders) != 1 || p.Orders[0].Machine != "m0" {
		t.Fatalf("orders %v", p.Orders)
	}
	s.MarkOrdered(p.Orders[0])
	s.MarkUnproven(p.Orders[0])
	s.SetWaves(now, []workload.Wave{{Number: 3, Revision: 1, Machines: []workload.MachineID{"m1"}, Within: spec.Within, MaxDown: 1}})
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Orders) != 0 {
		t.Errorf("orders %v", p.Orders)
	}
	now = now.Add(maxOrderDelay + upkeepTime)
	s.Step(now, List{now, c.machines}, c.vacated())
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Orders) != 1 || p.Orders[0].Machine != "m1" {
		t.Errorf("orders %v", p.Orders)
	}
}

// TestLoweredLimit guards against orders that are repeated for more machines than the operators allow since they have lowered the limit.
func TestLoweredLimit(t *testing.T) {
	now := time.Unix(0, 0)
	c, spec := newWave(2, 2)
	s := New(upkeepTime)
	s.SetWaves(now, []workload.Wave{spec})
	s.Step(now, List{now, c.machines}, c.vacated())
	p := s.Step(now, List{now, c.machines}, c.vacated())
	if len(p.Orders) != 2 {
		t.Fatalf("orders %v", p.Orders)
	}
	for _, o := range p.Orders {
		s.MarkOrdered(o)
		s.MarkUnproven(o)
	}
	spec.MaxDown, spec.Revision = 1, 1
	s.SetWaves(now, []workload.Wave{spec})
	if p := s.Step(now, List{now, c.machines}, c.vacated()); len(p.Orders) != 1 {
		t.Errorf("orders %v", p.Orders)
	}
}
