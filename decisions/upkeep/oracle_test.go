package upkeep

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	tick = 100 * time.Millisecond
	// answerTimeout is the number of ticks after which an order without an answer fails.
	answerTimeout = 20
	// faultTicks is the number of ticks with faults, maxTicks that of a day, within which every wave has to be completed.
	faultTicks, maxTicks = 400, 4000
	// unexpectedTerm is the term of an order that is carried out once more after its answer.
	unexpectedTerm = -1
)

// oracleMachine is the truth about a machine of the platform.
type oracleMachine struct {
	id       workload.MachineID
	executor int
	up       bool
	inUpkeep bool
	upAt     int
	gone     bool
	// staysDown is set if the machine does not come back after its crash.
	staysDown bool
	// missingUntil is when the lists contain the machine again.
	missingUntil int
	// busyUntil is when the tasks of the present executor end.
	busyUntil int
	// begun holds the waves of which the upkeep of the machine has begun.
	begun map[int64]bool
	// wave and term are those of the present upkeep.
	wave int64
	term int
	// shown is set once a list has shown the present holder that the machine is in upkeep.
	shown bool
}

func (m *oracleMachine) executorID() workload.ExecutorID {
	return workload.ExecutorID(fmt.Sprintf("%s-%d", m.id, m.executor))
}

// oracle is a platform that knows what has happened, and the holders that give it orders.
type oracle struct {
	t        *rapid.T
	now      int
	machines []*oracleMachine
	waves    []workload.Wave
	planner  *Planner
	term     int
	// events holds what happens at later ticks.
	events map[int][]func()
	// listing is set while a list is requested.
	listing bool
	vacated []workload.ExecutorID
	// revision is that of the last change of a wave, known that of the last one that the holder knows. completed holds the waves that are
	// recorded as completed.
	revision, known int64
	completed       map[int64]bool
}

func (o *oracle) time() time.Time { return time.Unix(0, 0).Add(time.Duration(o.now) * tick) }

func (o *oracle) after(ticks int, f func()) {
	o.events[o.now+ticks] = append(o.events[o.now+ticks], f)
}

// chance draws whether something happens. Nothing does after the ticks with faults.
func (o *oracle) chance(percent int, what string) bool {
	return o.now < faultTicks && rapid.IntRange(0, 99).Draw(o.t, what) >= 100-percent
}

func (o *oracle) newHolder() {
	o.planner = New(upkeepTime)
	o.planner.SetWaves(o.time(), o.waves)
	o.known = o.revision
	o.term++
	o.listing, o.vacated = false, nil
	for _, m := range o.machines {
		m.shown = false
	}
}

// startUpkeep executes an order of a term and returns its answer, as the protocol says.
func (o *oracle) startUpkeep(order Order, term int, known workload.Wave) (begun, needed bool) {
	i := slices.IndexFunc(o.machines, func(m *oracleMachine) bool { return m.id == order.Machine && !m.gone })
	if i < 0 {
		return false, false
	}
	m := o.machines[i]
	switch {
	case m.begun[order.Wave]:
		return true, true
	case !o.inWave(m, order.Wave):
		return false, false
	case !m.up:
		return false, true
	}
	o.checkLimit(m, order, term, known)
	m.begun[order.Wave] = true
	m.up, m.inUpkeep, m.wave, m.term, m.shown = false, true, order.Wave, term, false
	m.upAt = o.now + int(upkeepTime/tick)
	return true, true
}

func (o *oracle) inWave(m *oracleMachine, wave int64) bool {
	return slices.ContainsFunc(o.waves, func(w workload.Wave) bool { return w.Number == wave && slices.Contains(w.Machines, m.id) })
}

// changeWave adds a machine to a wave or takes one out, changes its limit, removes it or orders it again. The holder learns of it later.
func (o *oracle) changeWave() {
	n := int64(rapid.IntRange(1, 3).Draw(o.t, "wave that changes"))
	o.revision++
	changed := slices.Clone(o.waves)
	i := slices.IndexFunc(changed, func(w workload.Wave) bool { return w.Number == n })
	if i < 0 {
		changed = append(changed, workload.Wave{Number: n, Within: 30 * time.Second, MaxDown: 1})
		i = len(changed) - 1
	}
	w := &changed[i]
	w.Revision, w.Machines = o.revision, slices.Clone(w.Machines)
	switch id := o.machines[rapid.IntRange(0, len(o.machines)-1).Draw(o.t, "machine that is added or taken out")].id; {
	case o.chance(20, "limit changes"):
		w.MaxDown = 3 - w.MaxDown
	case o.chance(20, "wave is removed"):
		changed = slices.Delete(changed, i, i+1)
	case slices.Contains(w.Machines, id):
		w.Machines = slices.DeleteFunc(w.Machines, func(other workload.MachineID) bool { return other == id })
	default:
		w.Machines = append(w.Machines, id)
	}
	o.waves = changed
	revision := o.revision
	o.after(rapid.IntRange(1, 20).Draw(o.t, "ticks until the holder knows"), func() {
		if revision > o.known {
			o.planner.SetWaves(o.time(), changed)
			o.known = revision
		}
	})
}

// checkLimit checks that an upkeep may begin. What a former holder ordered counts once a list has shown it, and an order of
// a former holder that is carried out late can't be prevented. A machine that a former holder took down does not count once it
// is not part of the wave any more: the limit is for the machines of the wave.
func (o *oracle) checkLimit(m *oracleMachine, order Order, term int, known workload.Wave) {
	if term != o.term {
		return
	}
	down := 0
	for _, other := range o.machines {
		if other != m && !other.gone && other.inUpkeep && other.wave == order.Wave && (other.term == o.term || other.shown && slices.Contains(known.Machines, other.id)) {
			down++
		}
	}
	limit := known.MaxDown
	if w := o.planner.waves[order.Wave]; w != nil {
		limit = max(limit, w.spec.MaxDown)
	}
	if down >= limit {
		o.t.Fatalf("tick %d: upkeep of %s for wave %d begins while %d machines of it are down", o.now, m.id, order.Wave, down)
	}
}

// send gives an order to the platform, which may answer it late or never, and carry it out late, twice or never.
func (o *oracle) send(order Order) {
	planner, term := o.planner, o.term
	planner.MarkOrdered(order)
	// The limit and the machines of the wave are those that the holder knew.
	known := planner.waves[order.Wave].spec
	execute := func() { o.startUpkeep(order, term, known) }
	unanswered := func() { planner.MarkUnproven(order) }
	fault := 0
	if o.chance(40, "order fails") {
		fault = rapid.IntRange(1, 5).Draw(o.t, "fault of the order")
	}
	late := func() int { return rapid.IntRange(1, 120).Draw(o.t, "ticks until the order is carried out") }
	switch fault {
	case 1:
		o.after(answerTimeout, unanswered)
	case 2:
		execute()
		o.after(answerTimeout, unanswered)
	case 3:
		o.after(late(), execute)
		o.after(answerTimeout, unanswered)
	case 4:
		// If the machine refuses the order first, the repetition begins an upkeep that no holder can expect.
		o.after(late(), func() { o.startUpkeep(order, unexpectedTerm, known) })
		o.answer(planner, order, term, known, 0)
	case 5:
		o.answer(planner, order, term, known, rapid.IntRange(1, answerTimeout/2).Draw(o.t, "ticks until the order is carried out in time"))
	default:
		o.answer(planner, order, term, known, 0)
	}
}

// answer carries an order out after a number of ticks and answers it, both before answerTimeout.
func (o *oracle) answer(planner *Planner, order Order, term int, known workload.Wave, ticks int) {
	answerTicks := 1
	if o.chance(30, "answer is late") {
		answerTicks = rapid.IntRange(1, answerTimeout/2-1).Draw(o.t, "ticks until the answer")
	}
	execute := func() {
		begun, needed := o.startUpkeep(order, term, known)
		o.after(answerTicks, func() {
			switch {
			case begun:
				planner.MarkBegun(o.time(), order)
			case !needed:
				planner.MarkNotNeeded(order)
			default:
				planner.MarkRefused(order)
			}
		})
	}
	if ticks == 0 {
		execute()
	} else {
		o.after(ticks, execute)
	}
}

// request requests a list, which is made at once or later and arrives at once or later.
func (o *oracle) request() {
	o.listing = true
	planner, requestedAt := o.planner, o.now
	wait := func(what string) int {
		if o.chance(20, what) {
			return rapid.IntRange(1, 8).Draw(o.t, what+" by ticks")
		}
		return 0
	}
	madeAfter := 1 + wait("list is made late")
	arrivesAfter := wait("list arrives late")
	o.after(madeAfter, func() {
		var machines []workload.Machine
		for _, m := range o.machines {
			if !m.gone && o.now >= m.missingUntil && !o.chance(2, "machine is missing in the list") {
				machines = append(machines, workload.Machine{ID: m.id, Up: m.up, InUpkeep: m.inUpkeep, Executor: m.executorID()})
			}
		}
		apply := func() {
			if planner == o.planner {
				o.listing = false
				o.step(List{time.Unix(0, 0).Add(time.Duration(requestedAt) * tick), machines})
			}
		}
		if arrivesAfter == 0 {
			apply()
			return
		}
		o.after(arrivesAfter, apply)
	})
}

func (o *oracle) step(list List) {
	for _, m := range o.machines {
		m.shown = m.shown || m.inUpkeep && slices.ContainsFunc(list.Machines, func(x workload.Machine) bool { return x.ID == m.id && x.InUpkeep })
	}
	p := o.planner.Step(o.time(), list, o.vacated)
	o.vacated = nil
	for _, m := range o.machines {
		if o.now >= m.busyUntil && slices.Contains(p.Evacuate, m.executorID()) {
			o.vacated = append(o.vacated, m.executorID())
		}
	}
	for _, order := range p.Orders {
		o.send(order)
	}
	for _, n := range p.CompletedWaves {
		revision := o.planner.Revision(n)
		if !slices.ContainsFunc(o.waves, func(w workload.Wave) bool { return w.Number == n && w.Revision == revision }) {
			// The store does not record the completion of a wave that has changed.
			continue
		}
		for _, m := range o.machines {
			if o.inWave(m, n) && !m.gone && !m.begun[n] {
				o.t.Fatalf("tick %d: wave %d is completed, and the upkeep of %s has not begun", o.now, n, m.id)
			}
		}
		o.completed[n] = true
		o.planner.MarkCompletionRecorded(n, revision)
	}
}

func (o *oracle) allCompleted() bool {
	return !slices.ContainsFunc(o.waves, func(w workload.Wave) bool { return !o.isCompleted(w) })
}

// isCompleted reports whether a wave is recorded as completed, and has no machine that was added since.
func (o *oracle) isCompleted(w workload.Wave) bool {
	return o.completed[w.Number] && !slices.ContainsFunc(o.machines, func(m *oracleMachine) bool {
		return !m.gone && !m.begun[w.Number] && slices.Contains(w.Machines, m.id)
	})
}

func (o *oracle) startExecutor(m *oracleMachine) {
	m.executor++
	if o.chance(50, "executor is occupied") {
		m.busyUntil = o.now + rapid.IntRange(1, 80).Draw(o.t, "ticks of its tasks")
	}
}

// advance ends upkeeps and disturbs machines and holders.
func (o *oracle) advance() {
	for _, m := range o.machines {
		if !m.up && !m.staysDown && o.now >= m.upAt {
			m.up, m.inUpkeep = true, false
			o.startExecutor(m)
		}
		if m.up && o.chance(2, "executor restarts") {
			o.startExecutor(m)
		}
		if m.up && o.chance(1, "machine crashes") {
			m.up, m.upAt = false, o.now+rapid.IntRange(1, 50).Draw(o.t, "ticks of the crash")
			m.staysDown = o.chance(20, "machine stays down")
		}
	}
	if o.chance(1, "lists miss a machine") {
		o.machines[rapid.IntRange(0, len(o.machines)-1).Draw(o.t, "machine that lists miss")].missingUntil = o.now + rapid.IntRange(1, 60).Draw(o.t, "ticks without it")
	}
	if o.chance(1, "machine leaves") {
		o.machines[rapid.IntRange(0, len(o.machines)-1).Draw(o.t, "machine that leaves")].gone = true
	}
	if o.chance(2, "operators change a wave") {
		o.changeWave()
	}
	if o.chance(2, "holder changes") {
		o.newHolder()
	}
}

// blocked reports whether each wave that is not completed has a machine that stays down, and the upkeep of all others has
// begun. Only one that stays down with an order that may still be carried out, or in its upkeep, keeps its place, so that
// the others may have to wait for it.
func (o *oracle) blocked() bool {
	for _, w := range o.waves {
		if o.isCompleted(w) {
			continue
		}
		staysDown, waits, keepsPlace := false, false, false
		for _, m := range o.machines {
			if m.gone || !slices.Contains(w.Machines, m.id) {
				continue
			}
			staysDown = staysDown || m.staysDown
			waits = waits || !m.staysDown && !m.begun[w.Number]
			known := o.planner.find(Order{w.Number, m.id})
			keepsPlace = keepsPlace || m.staysDown && (known != nil && known.unresolved || m.begun[w.Number])
		}
		if !staysDown || waits && !keepsPlace {
			return false
		}
	}
	return true
}

// TestWavesAgainstOracle guards against a wave that is reported as completed although the upkeep of one of its machines
// has not begun, against too many machines in upkeep at once, and against a wave that is never completed. Orders are
// lost, late or carried out twice, answers and lists are late or miss a machine for a while, executors restart, machines
// crash by themselves and may stay down, waves share machines, and operators change the waves and the holder changes at any step.
func TestWavesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{t: t, events: map[int][]func(){}, completed: map[int64]bool{}}
		machines := rapid.IntRange(1, 5).Draw(t, "machines")
		for i := range machines {
			o.machines = append(o.machines, &oracleMachine{id: workload.MachineID(fmt.Sprintf("m%d", i)), up: true, begun: map[int64]bool{}})
			o.startExecutor(o.machines[i])
		}
		for n := range rapid.IntRange(1, 3).Draw(t, "waves") {
			o.revision++
			w := workload.Wave{Number: int64(n + 1), Revision: o.revision, Within: 30 * time.Second, MaxDown: rapid.IntRange(1, 2).Draw(t, "machines down at once")}
			for _, m := range o.machines {
				if rapid.Bool().Draw(t, "machine is in the wave") {
					w.Machines = append(w.Machines, m.id)
				}
			}
			o.waves = append(o.waves, w)
		}
		o.newHolder()
		for ; o.now < faultTicks || !o.allCompleted(); o.now++ {
			if o.now > maxTicks {
				if !o.blocked() {
					t.Fatalf("not all waves are completed after %d ticks: %v of %+v", o.now, o.completed, o.waves)
				}
				return
			}
			o.advance()
			for _, f := range o.events[o.now] {
				f()
			}
			delete(o.events, o.now)
			if !o.listing && o.now%4 == 0 {
				o.request()
			}
		}
	})
}
