package upkeep

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const downFor = 2 * time.Second

// fakeCloud is a platform whose machines are down for a time after an order and then live on as another executor.
type fakeCloud struct {
	machines []workload.Machine
	backAt   map[workload.MachineID]time.Time
	life     int
	mostDown int
	upkeeps  map[workload.MachineID]int
}

// newWave returns a platform with machines that are up, and a wave of all of them.
func newWave(machines, atOnce int) (*fakeCloud, workload.Wave) {
	c := &fakeCloud{backAt: map[workload.MachineID]time.Time{}, upkeeps: map[workload.MachineID]int{}}
	order := workload.Wave{Number: 3, Within: 40 * time.Second, AtOnce: atOnce}
	for i := range machines {
		id := workload.MachineID(fmt.Sprintf("m%d", i))
		c.machines = append(c.machines, workload.Machine{ID: id, Up: true, Executor: workload.ExecutorID(fmt.Sprintf("e%d", i))})
		order.Machines = append(order.Machines, id)
	}
	return c, order
}

func (c *fakeCloud) order(now time.Time, id workload.MachineID) {
	for i := range c.machines {
		if c.machines[i].ID == id && c.machines[i].Up {
			c.machines[i].Up, c.machines[i].InUpkeep = false, true
			c.backAt[id] = now.Add(downFor)
			c.upkeeps[id]++
		}
	}
}

func (c *fakeCloud) advance(now time.Time) {
	down := 0
	for i := range c.machines {
		m := &c.machines[i]
		if !m.Up && now.After(c.backAt[m.ID]) {
			c.life++
			m.Up, m.InUpkeep, m.Executor = true, false, workload.ExecutorID(fmt.Sprintf("life%d", c.life))
		}
		if !m.Up {
			down++
		}
	}
	c.mostDown = max(c.mostDown, down)
}

// TestWave guards against a wave that takes too many machines down at once, takes one down twice, is reported before its
// end or is late, also if a machine is never empty and one leaves.
func TestWave(t *testing.T) {
	now := time.Unix(0, 0)
	c, order := newWave(6, 2)
	s := New(downFor)
	s.SetWaves(now, []workload.Wave{order})
	began := now
	announced := 0
	for s.Active() {
		if now.Sub(began) > order.Within {
			t.Fatal("the wave is late")
		}
		if now.Sub(began) > 5*time.Second && len(c.machines) == 6 {
			// The last machine leaves.
			c.machines = c.machines[:5]
		}
		c.advance(now)
		p := s.Step(now, c.machines, []workload.ExecutorID{"e1"})
		announced += len(p.Begun)
		for _, o := range p.Orders {
			c.order(now, o.Machine)
			s.Ordered(now, o)
		}
		if s.Active() && len(p.Completed) > 0 {
			t.Fatal("completed before the end")
		}
		now = now.Add(100 * time.Millisecond)
	}
	if p := s.Step(now, c.machines, nil); len(p.Completed) != 1 || p.Completed[0] != 3 {
		t.Errorf("completed %v, want wave 3", p.Completed)
	}
	if announced != 1 {
		t.Errorf("the beginning was announced %d times", announced)
	}
	s.Reported(3)
	if p := s.Step(now, c.machines, nil); len(p.Completed) != 0 {
		t.Errorf("reported again: %v", p.Completed)
	}
	if c.mostDown > order.AtOnce {
		t.Errorf("%d machines down at once", c.mostDown)
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

// TestWaveOfNewHolder guards against a holder that takes the next machine down while one that an earlier holder took down is
// not back, and against a wave that waits for a machine which is down for another cause.
func TestWaveOfNewHolder(t *testing.T) {
	now := time.Unix(0, 0)
	c, order := newWave(4, 1)
	c.machines[3].Up = false
	c.backAt["m3"] = now.Add(15 * time.Second)
	s := New(downFor)
	s.SetWaves(now, []workload.Wave{order})
	for step := 0; s.Active(); step++ {
		if step > 400 {
			t.Fatal("the wave is late")
		}
		if step%7 == 6 && step < 60 {
			s = New(downFor)
			s.SetWaves(now, []workload.Wave{order})
		}
		c.advance(now)
		for _, o := range s.Step(now, c.machines, nil).Orders {
			c.order(now, o.Machine)
			s.Ordered(now, o)
		}
		if n := c.inUpkeep(); n > order.AtOnce {
			t.Fatalf("%d machines in upkeep after %v, want at most %d", n, now.Sub(time.Unix(0, 0)), order.AtOnce)
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
