// Package victims chooses the running units that a preemption stops so that the tasks of another unit fit.
//
// It answers a full fleet into which urgent gangs arrive: many small tasks and wide gangs occupy the executors, and each
// unit that is stopped without need is work that its callers wait for once more.
package victims

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Host is an executor on which tasks may be placed.
type Host struct {
	// Free is the capacity that no task occupies. It is negative where more is reserved than free.
	Free workload.Resources
	// Slots bounds the tasks that may be placed on the host.
	Slots int
	// Occupants are the runs on the host that may be stopped or awaited.
	Occupants []Occupant
}

// Occupant is what a unit occupies on a host. A unit has at most one entry on each host.
type Occupant struct {
	// Unit is the index of the unit.
	Unit int
	Load workload.Resources
}

// Unit is a running unit: a gang or a single task. All its tasks end when it is stopped.
type Unit struct {
	// Cost is the work that is lost if the unit is stopped; any unit of measure.
	Cost float64
	// Ends is set if the unit ends by itself early enough, so that its room need not be vacated.
	Ends bool
	// Tasks is the number of tasks that are missing once the unit is stopped. It counts against Budget, which is nil if there
	// is no limit.
	Tasks  int
	Budget *Budget
}

// Budget is how many tasks of the units that share it may be stopped at once.
type Budget struct{ Tasks int }

// Plan is a placement with the units whose room it needs.
type Plan struct {
	// Hosts has the index of a host for each task.
	Hosts []int
	// Stopped lists the units to stop, Awaited those whose own end the placement waits for.
	Stopped, Awaited []int
	// Cost is the sum of the costs of the stopped units.
	Cost float64
}

const (
	// awaitCost is the cost of a unit that ends by itself: a host that is free now is preferred.
	awaitCost = 1e-3
	// maxGangTrials bounds the gangs that are tried as the first victim.
	maxGangTrials = 6
)

// Choose returns the placement of count tasks with the least lost work that it finds, or false if they do not fit even
// after all units have ended. It places the tasks one by one where the least is lost, and tries besides to begin with
// each of a few gangs, whose end frees room on many hosts at once. The time is proportional to the occupants plus
// count times the hosts, at most maxGangTrials+1 times.
func Choose(need workload.Resources, count int, hosts []Host, units []Unit) (Plan, bool) {
	s := &search{need: need, hosts: hosts, units: units, hostsOf: make([][]int, len(units)), sharing: map[*Budget][]int{}}
	for h := range hosts {
		for _, o := range hosts[h].Occupants {
			s.hostsOf[o.Unit] = append(s.hostsOf[o.Unit], h)
		}
	}
	for u := range units {
		if b := units[u].Budget; b != nil && !units[u].Ends {
			s.sharing[b] = append(s.sharing[b], s.hostsOf[u]...)
		}
	}
	best, ok := s.place(count, nil)
	if !ok || len(best.Stopped) == 0 {
		return best, ok
	}
	for _, gang := range s.gangs(count, best.Cost) {
		if p, ok := s.place(count, []int{gang}); ok && p.Cost < best.Cost {
			best = p
		}
	}
	return best, true
}

// search holds the input of a choice and the state of one trial.
type search struct {
	need  workload.Resources
	hosts []Host
	units []Unit
	// hostsOf lists the hosts of each unit.
	hostsOf [][]int
	// sharing lists the hosts of the units that share a budget.
	sharing map[*Budget][]int

	chosen []bool
	// spent is the part of each budget that the chosen units use.
	spent map[*Budget]int
	// room is the capacity of each host that is free once the chosen units have ended, less the tasks placed.
	room    []workload.Resources
	placed  []int
	options []option
}

// option is the cheapest way to place one more task on a host.
type option struct {
	possible bool
	cost     float64
	units    []int
}

func (s *search) cost(u int) float64 {
	if s.units[u].Ends {
		return awaitCost
	}
	return s.units[u].Cost
}

// gangs returns the units on several hosts that cost less than limit and free room for the most tasks at the least cost.
func (s *search) gangs(count int, limit float64) []int {
	type gang struct {
		unit  int
		ratio float64
	}
	var out []gang
	for u, on := range s.hostsOf {
		if len(on) < 2 || s.units[u].Ends || s.units[u].Cost >= limit || !s.affordable(u, nil) {
			continue
		}
		tasks := 0
		for _, h := range on {
			tasks += min(s.hosts[h].Slots, s.need.CountIn(s.hosts[h].Free.Add(s.load(u, h))))
		}
		if tasks > 0 {
			out = append(out, gang{u, s.units[u].Cost / float64(min(count, tasks))})
		}
	}
	slices.SortStableFunc(out, func(a, b gang) int { return cmp.Compare(a.ratio, b.ratio) })
	var units []int
	for _, g := range out[:min(len(out), maxGangTrials)] {
		units = append(units, g.unit)
	}
	return units
}

func (s *search) load(u, h int) workload.Resources {
	for _, o := range s.hosts[h].Occupants {
		if o.Unit == u {
			return o.Load
		}
	}
	return workload.Resources{}
}

// place places the tasks one by one, each where the least is lost, after the units of first have been chosen.
func (s *search) place(count int, first []int) (Plan, bool) {
	s.chosen = make([]bool, len(s.units))
	s.spent = map[*Budget]int{}
	s.room = make([]workload.Resources, len(s.hosts))
	s.placed = make([]int, len(s.hosts))
	s.options = make([]option, len(s.hosts))
	for h := range s.hosts {
		s.room[h] = s.hosts[h].Free
	}
	for _, u := range first {
		s.choose(u)
	}
	for h := range s.hosts {
		s.options[h] = s.cheapest(h)
	}
	var p Plan
	for range count {
		best := -1
		for h := range s.options {
			if s.options[h].possible && (best < 0 || s.options[h].cost < s.options[best].cost) {
				best = h
			}
		}
		if best < 0 {
			return Plan{}, false
		}
		changed := []int{best}
		for _, u := range s.options[best].units {
			s.choose(u)
			changed = append(changed, s.hostsOf[u]...)
			changed = append(changed, s.sharing[s.units[u].Budget]...)
		}
		s.room[best] = s.room[best].Sub(s.need)
		s.placed[best]++
		p.Hosts = append(p.Hosts, best)
		for _, h := range changed {
			s.options[h] = s.cheapest(h)
		}
	}
	s.dropNeedless()
	for u, chosen := range s.chosen {
		switch {
		case !chosen:
		case s.units[u].Ends:
			p.Awaited = append(p.Awaited, u)
		default:
			p.Stopped = append(p.Stopped, u)
			p.Cost += s.units[u].Cost
		}
	}
	return p, true
}

// affordable reports whether the budget of a unit permits to stop it besides the chosen units and those of a set.
func (s *search) affordable(u int, set []Occupant) bool {
	unit := s.units[u]
	if unit.Budget == nil || unit.Ends {
		return true
	}
	tasks := s.spent[unit.Budget] + unit.Tasks
	for _, o := range set {
		if other := s.units[o.Unit]; other.Budget == unit.Budget && !other.Ends {
			tasks += other.Tasks
		}
	}
	return tasks <= unit.Budget.Tasks
}

// choose marks a unit as one that ends.
func (s *search) choose(u int) {
	s.chosen[u] = true
	if unit := s.units[u]; unit.Budget != nil && !unit.Ends {
		s.spent[unit.Budget] += unit.Tasks
	}
	for _, h := range s.hostsOf[u] {
		s.room[h] = s.room[h].Add(s.load(u, h))
	}
}

// dropNeedless removes chosen units whose room the placement does not use, the most expensive first.
func (s *search) dropNeedless() {
	var chosen []int
	for u := range s.chosen {
		if s.chosen[u] {
			chosen = append(chosen, u)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(s.cost(b), s.cost(a)) })
	for _, u := range chosen {
		if slices.ContainsFunc(s.hostsOf[u], func(h int) bool { return s.placed[h] > 0 && !covered(s.room[h].Sub(s.load(u, h))) }) {
			continue
		}
		s.chosen[u] = false
		for _, h := range s.hostsOf[u] {
			s.room[h] = s.room[h].Sub(s.load(u, h))
		}
	}
}

// cheapest returns the cheapest set of units found whose end makes room for one more task on a host: the cheaper one of
// a single unit, and of the units in the order of their cost without those that turn out to be needless.
func (s *search) cheapest(h int) option {
	if s.placed[h] >= s.hosts[h].Slots {
		return option{}
	}
	room := s.room[h].Sub(s.need)
	if covered(room) {
		return option{possible: true}
	}
	var occupants []Occupant
	for _, o := range s.hosts[h].Occupants {
		if !s.chosen[o.Unit] && relieves(o.Load, room) && s.affordable(o.Unit, nil) {
			occupants = append(occupants, o)
		}
	}
	slices.SortStableFunc(occupants, func(a, b Occupant) int { return cmp.Compare(s.cost(a.Unit), s.cost(b.Unit)) })
	var set []Occupant
	for _, o := range occupants {
		if covered(room) {
			break
		}
		if relieves(o.Load, room) && s.affordable(o.Unit, set) {
			set = append(set, o)
			room = room.Add(o.Load)
		}
	}
	if !covered(room) {
		return option{}
	}
	out := option{possible: true}
	for i := len(set) - 1; i >= 0; i-- {
		if without := room.Sub(set[i].Load); covered(without) {
			room = without
			continue
		}
		out.units = append(out.units, set[i].Unit)
		out.cost += s.cost(set[i].Unit)
	}
	missing := s.room[h].Sub(s.need)
	for _, o := range occupants {
		if c := s.cost(o.Unit); c < out.cost && covered(missing.Add(o.Load)) {
			out.units, out.cost = []int{o.Unit}, c
			break
		}
	}
	return out
}

// covered reports whether no resource is missing.
func covered(room workload.Resources) bool { return room.CPU >= 0 && room.Memory >= 0 && room.GPU >= 0 }

// relieves reports whether a load holds some of a resource that is missing.
func relieves(load, room workload.Resources) bool {
	return room.CPU < 0 && load.CPU > 0 || room.Memory < 0 && load.Memory > 0 || room.GPU < 0 && load.GPU > 0
}
