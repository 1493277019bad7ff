package victims

import (
	"os"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("2000")
	os.Exit(m.Run())
}

func gpus(n int) workload.Resources { return workload.Resources{CPU: n * 1000, GPU: n} }

// drawFleet draws hosts of 8 accelerators with single tasks and gangs on them.
func drawFleet(t *rapid.T) (hosts []Host, units []Unit) {
	hosts = make([]Host, rapid.IntRange(1, 5).Draw(t, "hosts"))
	for h := range hosts {
		hosts[h] = Host{Free: gpus(8), Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
	}
	for range rapid.IntRange(0, 9).Draw(t, "units") {
		size := rapid.IntRange(1, 3).Draw(t, "size")
		load := gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "load"))
		u := -1
		for h := range hosts {
			if size > 0 && load.Fits(hosts[h].Free) && rapid.Bool().Draw(t, "here") {
				if u < 0 {
					u = len(units)
					units = append(units, Unit{Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost")), Ends: rapid.IntRange(0, 4).Draw(t, "ends") == 0})
				}
				hosts[h].Free = hosts[h].Free.Sub(load)
				hosts[h].Occupants = append(hosts[h].Occupants, Occupant{u, load})
				size--
			}
		}
	}
	return hosts, units
}

// roomAfter returns the tasks of each host that fit once some units have ended.
func roomAfter(need workload.Resources, hosts []Host, ended func(u int) bool) []int {
	out := make([]int, len(hosts))
	for h := range hosts {
		free := hosts[h].Free
		for _, o := range hosts[h].Occupants {
			if ended(o.Unit) {
				free = free.Add(o.Load)
			}
		}
		out[h] = min(hosts[h].Slots, need.CountIn(free))
	}
	return out
}

func sum(n []int) (total int) {
	for _, v := range n {
		total += v
	}
	return total
}

// leastCost returns the cost of the cheapest set of units whose end makes room for count tasks, by trying all sets.
func leastCost(need workload.Resources, count int, hosts []Host, units []Unit) (cost float64, ok bool) {
	for set := range 1 << len(units) {
		ended := func(u int) bool { return units[u].Ends || set&(1<<u) != 0 }
		if sum(roomAfter(need, hosts, ended)) < count {
			continue
		}
		c := 0.0
		for u := range units {
			if set&(1<<u) != 0 && !units[u].Ends {
				c += units[u].Cost
			}
		}
		if !ok || c < cost {
			cost, ok = c, true
		}
	}
	return cost, ok
}

// TestChoose guards against a placement that does not fit, a unit that is stopped without need, a placement that is
// missed, and one that costs more than maxExcess times the least.
func TestChoose(t *testing.T) {
	// The search is a heuristic; a host that is filled by small tasks and a gang that spans hosts can mislead it.
	const maxExcess = 4
	total, least := 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		hosts, units := drawFleet(t)
		need := gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "need"))
		count := rapid.IntRange(1, 4).Draw(t, "count")
		p, ok := Choose(need, count, hosts, units)
		want, possible := leastCost(need, count, hosts, units)
		g.Expect(ok).To(gomega.Equal(possible))
		if !ok {
			return
		}
		g.Expect(p.Hosts).To(gomega.HaveLen(count))
		placed := make([]int, len(hosts))
		for _, h := range p.Hosts {
			placed[h]++
		}
		fitsWithout := func(skip int) bool {
			ended := func(u int) bool { return u != skip && (slices.Contains(p.Stopped, u) || slices.Contains(p.Awaited, u)) }
			for h, n := range roomAfter(need, hosts, ended) {
				if placed[h] > n {
					return false
				}
			}
			return true
		}
		g.Expect(fitsWithout(-1)).To(gomega.BeTrue(), "the placement does not fit")
		cost := 0.0
		for _, u := range slices.Concat(p.Stopped, p.Awaited) {
			g.Expect(fitsWithout(u)).To(gomega.BeFalse(), "unit %d need not end", u)
		}
		for _, u := range p.Stopped {
			g.Expect(units[u].Ends).To(gomega.BeFalse())
			cost += units[u].Cost
		}
		g.Expect(p.Cost).To(gomega.BeNumerically("~", cost))
		g.Expect(p.Cost).To(gomega.BeNumerically("<=", maxExcess*want), "the least is %v", want)
		total, least = total+p.Cost, least+want
	})
	t.Logf("cost of all choices: %.0f, least: %.0f", total, least)
	if total > 1.1*least {
		t.Errorf("the choices cost %.0f in all, over a tenth more than the least, %.0f", total, least)
	}
}

// TestChooseWithinBudgets guards against more tasks of units that share a budget being stopped at once than it permits, and
// against a placement that is missed although units without a budget give enough room.
func TestChooseWithinBudgets(t *testing.T) {
	limited := 0
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		hosts, units := drawFleet(t)
		budgets := []*Budget{{Tasks: rapid.IntRange(0, 2).Draw(t, "first budget")}, {Tasks: rapid.IntRange(0, 2).Draw(t, "second budget")}, nil}
		for u := range units {
			units[u].Tasks = rapid.IntRange(1, 2).Draw(t, "tasks")
			units[u].Budget = rapid.SampledFrom(budgets).Draw(t, "budget")
		}
		need := gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "need"))
		count := rapid.IntRange(1, 4).Draw(t, "count")
		p, ok := Choose(need, count, hosts, units)
		free := func(u int) bool { return units[u].Ends || units[u].Budget == nil }
		if !ok {
			g.Expect(sum(roomAfter(need, hosts, free))).To(gomega.BeNumerically("<", count), "the units without a budget suffice")
			return
		}
		spent := map[*Budget]int{}
		for _, u := range p.Stopped {
			if b := units[u].Budget; b != nil {
				limited++
				spent[b] += units[u].Tasks
				g.Expect(spent[b]).To(gomega.BeNumerically("<=", b.Tasks))
			}
		}
		placed := make([]int, len(hosts))
		for _, h := range p.Hosts {
			placed[h]++
		}
		room := roomAfter(need, hosts, func(u int) bool { return slices.Contains(p.Stopped, u) || slices.Contains(p.Awaited, u) })
		for h, n := range placed {
			g.Expect(n).To(gomega.BeNumerically("<=", room[h]), "the placement does not fit")
		}
	})
	if limited == 0 {
		t.Error("no unit with a budget was stopped, so that the test does not check anything")
	}
}

// TestNeedlessVictims guards against stopping a unit that frees nothing of what is missing, one whose room a later
// choice frees as well, and one that ends by itself.
func TestNeedlessVictims(t *testing.T) {
	cpuOnly := workload.Resources{CPU: 500}
	for name, c := range map[string]struct {
		hosts []Host
		units []Unit
		need  workload.Resources
		count int
		want  []int
	}{
		"frees nothing of what is missing": {
			hosts: []Host{{Free: workload.Resources{CPU: 4000}, Slots: 1, Occupants: []Occupant{{0, cpuOnly}, {1, gpus(4)}}}},
			units: []Unit{{Cost: 1}, {Cost: 9}}, need: gpus(4), count: 1, want: []int{1},
		},
		"a larger one suffices": {
			hosts: []Host{{Slots: 1, Occupants: []Occupant{{0, gpus(1)}, {1, gpus(4)}}}},
			units: []Unit{{Cost: 1}, {Cost: 9}}, need: gpus(4), count: 1, want: []int{1},
		},
		"one gang instead of a task on each host": {
			hosts: []Host{
				{Slots: 1, Occupants: []Occupant{{0, gpus(4)}, {1, gpus(4)}}},
				{Slots: 1, Occupants: []Occupant{{0, gpus(4)}, {2, gpus(4)}}},
				{Slots: 1, Occupants: []Occupant{{0, gpus(4)}, {3, gpus(4)}}},
			},
			units: []Unit{{Cost: 10}, {Cost: 6}, {Cost: 6}, {Cost: 6}}, need: gpus(4), count: 3, want: []int{0},
		},
		"ends by itself": {
			hosts: []Host{{Slots: 1, Occupants: []Occupant{{0, gpus(4)}, {1, gpus(4)}}}},
			units: []Unit{{Cost: 1}, {Cost: 9, Ends: true}}, need: gpus(4), count: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p, ok := Choose(c.need, c.count, c.hosts, c.units)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(p.Stopped).To(gomega.Equal(c.want))
		})
	}
}

// BenchmarkChoose measures the choice for a wide gang on a full fleet of 3,000 hosts with 8 tasks each.
func BenchmarkChoose(b *testing.B) {
	hosts, units := make([]Host, 3000), make([]Unit, 0, 24000)
	for h := range hosts {
		hosts[h].Slots = 8
		for range 8 {
			hosts[h].Occupants = append(hosts[h].Occupants, Occupant{len(units), gpus(1)})
			units = append(units, Unit{Cost: float64(len(units)%97 + 1)})
		}
	}
	for b.Loop() {
		Choose(gpus(4), 32, hosts, units)
	}
}
