// Package gang decides the commands that start and stop all tasks of a gang together.
//
// A gang starts in two steps. All members are held: started fully throttled under a short hold time.
// Once all are held they are released. If a member fails, is refused, is late or loses its worker in any
// phase, every other member is stopped.
//
// Bounds. A release that reaches only some members is aborted after ReleaseTimeout; a member that was
// released then runs on for that time, the report interval and the delivery of the stop, and never beyond
// the worker lease. The gang ends only when each member is known to have stopped or its lease has lapsed,
// so that two attempts of a job never run at once.
//
// The two steps follow two-phase commit (Gray, "Notes on Data Base Operating Systems"), with leases
// instead of a blocking second phase (Gray and Cheriton, "Leases").
package gang

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// Lease is the time after which a worker stops all tasks if its holder is silent. It covers the interval of
	// exchanges, the 3 s of the holder's own lease, an election and two exchanges of the next holder, which
	// renews the leases of gangs that it has seen whole.
	Lease = 6 * time.Second
	// HoldTime is the time that a worker holds a task without a release. Together with HoldTimeout it
	// leaves ReleaseTimeout for the delivery of the release.
	HoldTime = HoldTimeout + ReleaseTimeout
	// HoldTimeout bounds the first step: members that are not held by then abort the start. It covers two
	// lost exchanges of 1 s and their retries.
	HoldTimeout = 4 * time.Second
	// ReleaseTimeout bounds the second step. It covers one lost exchange of 1 s and its retry.
	ReleaseTimeout = 2 * time.Second
)

// Phase is the phase of a gang.
type Phase string

// Phases of a gang.
const (
	Holding       Phase = "holding"
	Releasing     Phase = "releasing"
	Running       Phase = "running"
	Checkpointing Phase = "checkpointing"
	Stopping      Phase = "stopping"
	Ended         Phase = "ended"
)

// Action is a command for one member.
type Action struct {
	Index int
	Kind  ActionKind
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of actions.
const (
	Hold       ActionKind = "hold"
	Release    ActionKind = "release"
	Checkpoint ActionKind = "checkpoint"
	Stop       ActionKind = "stop"
)

// Cause tells why a gang was stopped before its work was done.
type Cause string

// Causes of a stop.
const (
	NoCause      Cause = ""
	HoldLate     Cause = "hold_late"
	ReleaseLate  Cause = "release_late"
	Refused      Cause = "refused"
	MemberFailed Cause = "member_failed"
	MemberGone   Cause = "member_gone"
	WorkerLost   Cause = "worker_lost"
	Canceled     Cause = "canceled"
	Preempted    Cause = "preempted"
	DomainOut    Cause = "domain_out"
)

// member is the last known state of a member. The state is empty until its worker has reported it.
type member struct {
	state    model.TaskState
	progress float64
	// lost is true while the worker is lost; the member may run until leaseEnds.
	lost      bool
	leaseEnds time.Time
}

func (m member) final() bool { return m.state.Final() }

// Gang is the state of one attempt to run a gang.
type Gang struct {
	phase    Phase
	members  []member
	deadline time.Time
	cause    Cause
	// started is true once the gang has been in phase Running.
	started bool
}

// New returns a gang of n members that resumes from progress, and the actions that hold them.
func New(n int, progress float64, now time.Time) (*Gang, []Action) {
	g := &Gang{phase: Holding, members: make([]member, n), deadline: now.Add(HoldTimeout)}
	for i := range g.members {
		g.members[i].progress = progress
	}
	return g, g.all(Hold)
}

// Adopt returns a gang whose members were reported as running or succeeded.
func Adopt(states []model.TaskStatus) *Gang {
	g := &Gang{phase: Running, members: make([]member, len(states)), started: true}
	for i, s := range states {
		g.members[i] = member{state: s.State, progress: s.Progress}
	}
	g.settle(time.Time{})
	return g
}

// Phase returns the phase.
func (g *Gang) Phase() Phase { return g.phase }

// Cause returns why the gang was stopped; NoCause if it was not.
func (g *Gang) Cause() Cause { return g.cause }

// Started reports whether all members have run.
func (g *Gang) Started() bool { return g.started }

// Succeeded reports whether all members have done their work.
func (g *Gang) Succeeded() bool {
	return g.every(func(m member) bool { return m.state == model.TaskSucceeded })
}

// Failed reports whether a member has failed, also if the gang was being stopped for another cause.
func (g *Gang) Failed() bool {
	return !g.every(func(m member) bool { return m.state != model.TaskFailed })
}

// Starting reports whether the gang has not been released completely.
func (g *Gang) Starting() bool { return g.phase == Holding || g.phase == Releasing }

// Deadline returns the time at which Tick must be called; zero if there is none.
func (g *Gang) Deadline() time.Time { return g.deadline }

// Progress returns the share of the work, from 0 to 1, that all members have checkpointed.
func (g *Gang) Progress() float64 {
	p := 1.0
	for _, m := range g.members {
		if m.state != model.TaskSucceeded {
			p = min(p, m.progress)
		}
	}
	return p
}

// Observe applies a member's reported state and returns the actions that follow.
func (g *Gang) Observe(index int, t model.TaskStatus, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].final() {
		return nil
	}
	m := &g.members[index]
	m.state, m.progress, m.lost = t.State, max(m.progress, t.Progress), false
	switch {
	case g.phase == Stopping:
		return g.stopAgain(index, now)
	case t.State == model.TaskFailed:
		return g.abort(MemberFailed, now)
	case t.State == model.TaskStopped && g.phase != Checkpointing:
		return g.abort(MemberGone, now)
	}
	return g.advance(now)
}

// Gone applies that a member is not on its worker any more.
func (g *Gang) Gone(index int, now time.Time) []Action {
	return g.Observe(index, model.TaskStatus{State: model.TaskStopped}, now)
}

// Seen reports whether a member was reported and has not stopped.
func (g *Gang) Seen(index int) bool {
	return g.members[index].state != "" && !g.members[index].final()
}

// Refuse applies a refused action of a member.
func (g *Gang) Refuse(index int, k ActionKind, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].final() {
		return nil
	}
	if k == Hold && g.members[index].state == "" {
		g.members[index].state = model.TaskStopped
	}
	if g.phase == Stopping {
		return g.stopAgain(index, now)
	}
	if g.phase == Checkpointing {
		return g.stop(now)
	}
	return g.abort(Refused, now)
}

// Lose applies that a member's worker is lost and that the member's lease has lapsed by leaseEnds.
func (g *Gang) Lose(index int, leaseEnds, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].final() {
		return nil
	}
	g.members[index].lost, g.members[index].leaseEnds = true, leaseEnds
	return g.abort(WorkerLost, now)
}

// Cancel stops the gang.
func (g *Gang) Cancel(cause Cause, now time.Time) []Action { return g.abort(cause, now) }

// Preempt checkpoints the gang and then stops it. A member that has not checkpointed within bound is
// stopped anyway, and the gang resumes from its earlier checkpoint. A second call can only shorten the bound.
func (g *Gang) Preempt(bound time.Duration, now time.Time) []Action {
	if g.phase == Checkpointing {
		if d := now.Add(bound); d.Before(g.deadline) {
			g.deadline = d
		}
		return nil
	}
	if g.phase != Running {
		return g.abort(Preempted, now)
	}
	g.phase, g.cause, g.deadline = Checkpointing, Preempted, now.Add(bound)
	return g.all(Checkpoint)
}

// Tick applies the passing of time.
func (g *Gang) Tick(now time.Time) []Action {
	if g.deadline.IsZero() || now.Before(g.deadline) {
		return nil
	}
	switch g.phase {
	case Holding:
		return g.abort(HoldLate, now)
	case Releasing:
		return g.abort(ReleaseLate, now)
	case Checkpointing:
		return g.stop(now)
	case Stopping:
		g.settle(now)
	}
	return nil
}

// advance moves a gang whose members are all well.
func (g *Gang) advance(now time.Time) []Action {
	switch {
	case g.phase == Holding && g.every(func(m member) bool { return m.state == model.TaskHeld }):
		g.phase, g.deadline = Releasing, now.Add(ReleaseTimeout)
		return g.all(Release)
	case g.phase == Releasing && g.every(released):
		g.phase, g.deadline, g.started = Running, time.Time{}, true
	case g.phase == Checkpointing && g.every(saved):
		return g.stop(now)
	}
	g.settle(now)
	return nil
}

func released(m member) bool {
	return m.state == model.TaskRunning || m.state == model.TaskSucceeded
}

func saved(m member) bool { return m.state == model.TaskCheckpointed || m.final() }

// abort stops all members because of a cause. The first cause is kept.
func (g *Gang) abort(c Cause, now time.Time) []Action {
	if g.phase == Ended {
		return nil
	}
	if g.cause == NoCause {
		g.cause = c
	}
	if g.phase == Stopping {
		g.settle(now)
		return nil
	}
	return g.stop(now)
}

func (g *Gang) stop(now time.Time) []Action {
	g.phase, g.deadline = Stopping, time.Time{}
	g.settle(now)
	if g.phase == Ended {
		return nil
	}
	return g.all(Stop)
}

// stopAgain repeats the stop of a member that still occupies its worker, for example because the worker
// had been lost when the stop was sent.
func (g *Gang) stopAgain(index int, now time.Time) []Action {
	g.settle(now)
	if g.phase == Ended || g.members[index].final() {
		return nil
	}
	return []Action{{Index: index, Kind: Stop}}
}

// settle ends the gang once no member can run any more, and sets the next deadline of a stopping gang.
func (g *Gang) settle(now time.Time) {
	if g.phase != Stopping {
		if g.every(member.final) {
			g.phase, g.deadline = Ended, time.Time{}
		}
		return
	}
	g.deadline = time.Time{}
	open := false
	for _, m := range g.members {
		switch {
		case m.final():
		case m.lost && !now.Before(m.leaseEnds):
		case m.lost:
			open = true
			if g.deadline.IsZero() || m.leaseEnds.Before(g.deadline) {
				g.deadline = m.leaseEnds
			}
		default:
			open = true
		}
	}
	if !open {
		g.phase, g.deadline = Ended, time.Time{}
	}
}

func (g *Gang) all(k ActionKind) []Action {
	var out []Action
	for i, m := range g.members {
		if !m.final() {
			out = append(out, Action{Index: i, Kind: k})
		}
	}
	return out
}

func (g *Gang) every(ok func(member) bool) bool {
	for _, m := range g.members {
		if !ok(m) {
			return false
		}
	}
	return true
}
