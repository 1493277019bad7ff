package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/backlog"
)

// maxWaitingOccurrences is the number of due occurrences of a job that are open at the same time before any of their tasks
// has started. Further ones are opened when these start, so that a backlog of occurrences takes no memory.
const maxWaitingOccurrences = backlog.WaitingOccurrences

// occurrence is the state of an occurrence of a job that is due and not done. Occurrences that are not due, or that are
// done, have no state.
type occurrence struct {
	job    *job
	number int
	// steps is nil once all steps are done.
	steps []stepUnits
	// openSteps counts the steps with units that are not done.
	openSteps int
	// started is set once a unit has had a run.
	started bool
}

// stepUnits holds the units of a step of an occurrence. Units that have not been tried yet are equal and have no state of
// their own, nor have those that are done and have no runs.
type stepUnits struct {
	occurrence *occurrence
	step       int
	// units lists the units with a state of their own, by their first task.
	units []*unit
	// nextUnit is the first unit that may be neither done nor in units.
	nextUnit int
	// done holds the units that are done, open counts the others.
	done workload.UnitSet
	open int
	// readyAt is when the units became startable; zero before.
	readyAt time.Time
}

func (g *stepUnits) spec() *workload.Step { return &g.occurrence.job.rec.Steps[g.step] }

// find returns the position of a unit in units and whether it is there.
func (g *stepUnits) find(first int) (int, bool) {
	return slices.BinarySearchFunc(g.units, first, func(u *unit, first int) int { return cmp.Compare(u.firstTask, first) })
}

// unit returns a unit, or nil if it is done and has no runs.
func (g *stepUnits) unit(first int) *unit {
	i, found := g.find(first)
	if found {
		return g.units[i]
	}
	if g.done.Has(first) {
		return nil
	}
	u := &unit{job: g.occurrence.job, group: g, occurrence: g.occurrence.number, step: g.step, firstTask: first, size: 1}
	if g.spec().Gang {
		u.size = g.spec().Count
	}
	if !g.readyAt.IsZero() {
		u.state, u.readyAt, u.pendingSince = unitPending, g.readyAt, g.readyAt
	}
	g.units = slices.Insert(g.units, i, u)
	return u
}

// untried returns the number of units that are not done and have no state of their own.
func (g *stepUnits) untried() int {
	n := g.open
	for _, u := range g.units {
		if u.state != unitDone {
			n--
		}
	}
	return n
}

// nextUntried returns a unit that had no state of its own, or nil if there is none.
func (g *stepUnits) nextUntried() *unit {
	for count := g.spec().Units(); g.nextUnit < count; {
		first := g.nextUnit
		g.nextUnit++
		if _, found := g.find(first); !found && !g.done.Has(first) {
			return g.unit(first)
		}
	}
	return nil
}

// markDone marks a unit as done.
func (g *stepUnits) markDone(first int) {
	if g.done.Has(first) {
		return
	}
	g.done.Add(first)
	if g.open--; g.open > 0 {
		return
	}
	o := g.occurrence
	o.job.dropAdvice(o.number, g.step)
	if o.openSteps--; o.openSteps == 0 {
		o.job.doneOccurrences++
		o.job.forget(o)
	}
}

// release drops the state of a unit that is done or abandoned and has no runs.
func (g *stepUnits) release(u *unit) {
	if i, found := g.find(u.firstTask); found && g.units[i] == u {
		g.units = slices.Delete(g.units, i, i+1)
		g.occurrence.job.forget(g.occurrence)
	}
}

// dependenciesDone reports whether the steps on which a step depends are done.
func (o *occurrence) dependenciesDone(step int) bool {
	for _, s := range o.job.rec.Steps[step].After {
		if o.steps[s].open > 0 {
			return false
		}
	}
	return true
}

// allUnits returns the units of a job with a state of their own.
func (j *job) allUnits() []*unit {
	var out []*unit
	for _, o := range j.occurrences {
		for s := range o.steps {
			out = append(out, o.steps[s].units...)
		}
	}
	return out
}

// findOccurrence returns the position of an occurrence in the list of those with a state and whether it is there.
func (j *job) findOccurrence(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// openOccurrence returns the state of an occurrence, or nil if it is done.
func (j *job) openOccurrence(number int) *occurrence {
	i, found := j.findOccurrence(number)
	if found {
		return j.occurrences[i]
	}
	if number < j.nextOccurrence {
		return nil
	}
	o := &occurrence{job: j, number: number, steps: make([]stepUnits, len(j.rec.Steps)), openSteps: len(j.rec.Steps)}
	for s := range o.steps {
		o.steps[s] = stepUnits{occurrence: o, step: s, open: j.rec.Steps[s].Units()}
	}
	j.occurrences = slices.Insert(j.occurrences, i, o)
	return o
}

// forget drops what is not needed any more of an occurrence that is done. One that was done before its turn stays in the
// list, so that it is not taken for one that has not begun.
func (j *job) forget(o *occurrence) {
	if o.openSteps > 0 || slices.ContainsFunc(o.steps, func(g stepUnits) bool { return len(g.units) > 0 }) {
		return
	}
	o.steps = nil
	i, _ := j.findOccurrence(o.number)
	end := i
	for end < len(j.occurrences) && j.occurrences[end].steps == nil && j.occurrences[end].number <= j.nextOccurrence {
		j.nextOccurrence = max(j.nextOccurrence, j.occurrences[end].number+1)
		end++
	}
	j.occurrences = slices.Delete(j.occurrences, i, end)
}

// openDue opens the occurrences that are due, up to maxWaitingOccurrences that have not started. It reports whether more
// are due.
func (j *job) openDue(now time.Time) (more bool) {
	waiting := 0
	for _, o := range j.occurrences {
		if !o.started && o.openSteps > 0 {
			waiting++
		}
	}
	for j.nextOccurrence < j.rec.OccurrenceCount() && !now.Before(j.dueAt(j.nextOccurrence)) {
		if _, found := j.findOccurrence(j.nextOccurrence); !found {
			if waiting >= maxWaitingOccurrences {
				return true
			}
			waiting++
		}
		o := j.openOccurrence(j.nextOccurrence)
		j.nextOccurrence++
		j.forget(o)
	}
	return false
}

// unitFor returns the unit of a task, or nil if there is no such task, or if the unit has ended and has no runs.
func (j *job) unitFor(t workload.TaskRef) *unit {
	if !j.hasTask(t) {
		return nil
	}
	first := t.Index
	if j.rec.Steps[t.Step].Gang {
		first = 0
	}
	if j.state.Final() {
		// A job that has ended keeps only units that still have runs.
		if i, found := j.findOccurrence(t.Occurrence); found && t.Step < len(j.occurrences[i].steps) {
			g := &j.occurrences[i].steps[t.Step]
			if i, found := g.find(first); found {
				return g.units[i]
			}
		}
		return nil
	}
	o := j.openOccurrence(t.Occurrence)
	if o == nil || o.steps == nil {
		return nil
	}
	return o.steps[t.Step].unit(first)
}

// hasTask reports whether the job has a task.
func (j *job) hasTask(t workload.TaskRef) bool {
	return t.Occurrence >= 0 && t.Occurrence < j.rec.OccurrenceCount() && t.Step >= 0 && t.Step < len(j.rec.Steps) &&
		t.Index >= 0 && t.Index < j.rec.Steps[t.Step].Count
}

// openTasks returns the number of tasks of a step, over all occurrences, that are not done and have no run that is known.
func (j *job) openTasks(step int) int {
	spec := &j.rec.Steps[step]
	size := 1
	if spec.Gang {
		size = spec.Count
	}
	n := (j.rec.OccurrenceCount() - j.doneOccurrences) * spec.Count
	for _, o := range j.occurrences {
		if o.steps == nil || o.openSteps == 0 {
			continue
		}
		g := &o.steps[step]
		n -= (spec.Units() - g.open) * size
		for _, u := range g.units {
			if u.state != unitDone {
				n -= len(u.taskRuns)
			}
		}
	}
	return n
}
