// Package gang decides the commands that start and stop all tasks of a gang together. The tasks are the members of the
// gang.
//
// A gang starts in two steps. First all members are held: each is started fully throttled and is stopped by its worker
// if no release arrives within HoldDuration. Once all members are held, they are released. If a member fails, is
// refused, exceeds a timeout or loses its worker in any phase, every other member is stopped.
//
// A release that reaches only some members is aborted after ReleaseTimeout. A member that was released then runs for at
// most that time, the report interval and the delivery of the stop, and never beyond the lease of its worker. The gang
// ends only when each member is known to have stopped or its lease has expired, so that two attempts of a job never
// run at once.
//
// The two steps follow two-phase commit (Gray, "Notes on Data Base Operating Systems"), with leases instead of a
// blocking second phase (Gray and Cheriton, "Leases").
package gang

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// WorkerLeaseDuration is the time after which a worker stops all its tasks if the holder of the failure domain has
	// not renewed the lease. It covers the interval between two exchanges with the worker, the 3 s of the holder's own
	// lease, an election and two exchanges with the next holder, which renews the leases of gangs whose members it has
	// all seen.
	WorkerLeaseDuration = 6 * time.Second
	// HoldDuration is the time after which a worker stops a held task that was not released. It exceeds HoldTimeout by
	// ReleaseTimeout, which leaves that time for the delivery of the release.
	HoldDuration = HoldTimeout + ReleaseTimeout
	// HoldTimeout bounds the first step: the start is aborted unless all members are held by then. It covers two lost
	// exchanges of 1 s and their retries.
	HoldTimeout = 4 * time.Second
	// ReleaseTimeout bounds the second step: the gang is stopped unless all members are released by then. It covers one
	// lost exchange of 1 s and its retry.
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
	NoCause         Cause = ""
	HoldTimedOut    Cause = "hold_late"
	ReleaseTimedOut Cause = "release_late"
	Refused         Cause = "refused"
	MemberFailed    Cause = "member_failed"
	MemberMissing   Cause = "member_gone"
	WorkerLost      Cause = "worker_lost"
	Canceled        Cause = "canceled"
	Preempted       Cause = "preempted"
	DomainOut       Cause = "domain_out"
)

// member is the last known state of a member. state is empty until the member's worker has reported it.
type member struct {
	state    model.TaskState
	progress float64
	// lost is true while the member's worker is lost. The member may run until leaseEnds.
	lost      bool
	leaseEnds time.Time
}

func (m member) isFinal() bool { return m.state.Final() }

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
	return g, g.actionForAll(Hold)
}

// Adopt returns a running gang whose members were all reported as running or succeeded, for example to a new holder.
func Adopt(states []model.TaskStatus) *Gang {
	g := &Gang{phase: Running, members: make([]member, len(states)), started: true}
	for i, s := range states {
		g.members[i] = member{state: s.State, progress: s.Progress}
	}
	g.endIfStopped(time.Time{})
	return g
}

// Phase returns the current phase.
func (g *Gang) Phase() Phase { return g.phase }

// Cause returns why the gang was stopped, or NoCause if it was not.
func (g *Gang) Cause() Cause { return g.cause }

// Started reports whether the gang has been in phase Running, in which all members are released.
func (g *Gang) Started() bool { return g.started }

// Succeeded reports whether all members have completed their work.
func (g *Gang) Succeeded() bool {
	return g.allMembers(func(m member) bool { return m.state == model.TaskSucceeded })
}

// Failed reports whether any member has failed, even if the gang was being stopped for another cause.
func (g *Gang) Failed() bool {
	return !g.allMembers(func(m member) bool { return m.state != model.TaskFailed })
}

// Starting reports whether not all members are known to be released.
func (g *Gang) Starting() bool { return g.phase == Holding || g.phase == Releasing }

// Deadline returns the time at which the caller must call ApplyDeadline, or zero if there is none.
func (g *Gang) Deadline() time.Time { return g.deadline }

// Progress returns the fraction of the work, from 0 to 1, that all members have checkpointed.
func (g *Gang) Progress() float64 {
	p := 1.0
	for _, m := range g.members {
		if m.state != model.TaskSucceeded {
			p = min(p, m.progress)
		}
	}
	return p
}

// ApplyReport applies a reported state of a member and returns the resulting actions.
func (g *Gang) ApplyReport(index int, t model.TaskStatus, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].isFinal() {
		return nil
	}
	m := &g.members[index]
	m.state, m.progress, m.lost = t.State, max(m.progress, t.Progress), false
	switch {
	case g.phase == Stopping:
		return g.resendStop(index, now)
	case t.State == model.TaskFailed:
		return g.abort(MemberFailed, now)
	case t.State == model.TaskStopped && g.phase != Checkpointing:
		return g.abort(MemberMissing, now)
	}
	return g.advance(now)
}

// ApplyMemberMissing records that a member no longer exists on its worker and returns the resulting actions.
func (g *Gang) ApplyMemberMissing(index int, now time.Time) []Action {
	return g.ApplyReport(index, model.TaskStatus{State: model.TaskStopped}, now)
}

// MemberActive reports whether a member was reported and has not reached a final state.
func (g *Gang) MemberActive(index int) bool {
	return g.members[index].state != "" && !g.members[index].isFinal()
}

// ApplyRefusal records that a worker refused an action of kind k for a member and returns the resulting actions.
func (g *Gang) ApplyRefusal(index int, k ActionKind, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].isFinal() {
		return nil
	}
	if k == Hold && g.members[index].state == "" {
		g.members[index].state = model.TaskStopped
	}
	if g.phase == Stopping {
		return g.resendStop(index, now)
	}
	if g.phase == Checkpointing {
		return g.stop(now)
	}
	return g.abort(Refused, now)
}

// ApplyWorkerLoss records that the worker of a member is lost and returns the resulting actions. The lease of the
// member expires no later than leaseEnds.
func (g *Gang) ApplyWorkerLoss(index int, leaseEnds, now time.Time) []Action {
	if g.phase == Ended || index < 0 || index >= len(g.members) || g.members[index].isFinal() {
		return nil
	}
	g.members[index].lost, g.members[index].leaseEnds = true, leaseEnds
	return g.abort(WorkerLost, now)
}

// Cancel stops the gang and records the cause unless there is an earlier one.
func (g *Gang) Cancel(cause Cause, now time.Time) []Action { return g.abort(cause, now) }

// Preempt checkpoints the gang and then stops it. A member that has not checkpointed within bound is stopped without a
// new checkpoint, and the gang resumes from the earlier one. A repeated call can only shorten the bound.
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
	return g.actionForAll(Checkpoint)
}

// ApplyDeadline applies the deadline if it has passed and returns the resulting actions.
func (g *Gang) ApplyDeadline(now time.Time) []Action {
	if g.deadline.IsZero() || now.Before(g.deadline) {
		return nil
	}
	switch g.phase {
	case Holding:
		return g.abort(HoldTimedOut, now)
	case Releasing:
		return g.abort(ReleaseTimedOut, now)
	case Checkpointing:
		return g.stop(now)
	case Stopping:
		g.endIfStopped(now)
	}
	return nil
}

// advance moves the gang to its next phase if all members have reached the state for it.
func (g *Gang) advance(now time.Time) []Action {
	switch {
	case g.phase == Holding && g.allMembers(func(m member) bool { return m.state == model.TaskHeld }):
		g.phase, g.deadline = Releasing, now.Add(ReleaseTimeout)
		return g.actionForAll(Release)
	case g.phase == Releasing && g.allMembers(isReleased):
		g.phase, g.deadline, g.started = Running, time.Time{}, true
	case g.phase == Checkpointing && g.allMembers(isCheckpointed):
		return g.stop(now)
	}
	g.endIfStopped(now)
	return nil
}

func isReleased(m member) bool {
	return m.state == model.TaskRunning || m.state == model.TaskSucceeded
}

func isCheckpointed(m member) bool { return m.state == model.TaskCheckpointed || m.isFinal() }

// abort stops all members. It records the cause unless there is an earlier one.
func (g *Gang) abort(c Cause, now time.Time) []Action {
	if g.phase == Ended {
		return nil
	}
	if g.cause == NoCause {
		g.cause = c
	}
	if g.phase == Stopping {
		g.endIfStopped(now)
		return nil
	}
	return g.stop(now)
}

func (g *Gang) stop(now time.Time) []Action {
	g.phase, g.deadline = Stopping, time.Time{}
	g.endIfStopped(now)
	if g.phase == Ended {
		return nil
	}
	return g.actionForAll(Stop)
}

// resendStop sends the stop again to a member that has not stopped, for example because its worker was lost when the
// stop was first sent.
func (g *Gang) resendStop(index int, now time.Time) []Action {
	g.endIfStopped(now)
	if g.phase == Ended || g.members[index].isFinal() {
		return nil
	}
	return []Action{{Index: index, Kind: Stop}}
}

// endIfStopped ends the gang once no member can run any more. For a stopping gang that waits for lost workers, it sets
// the deadline to the earliest end of their leases.
func (g *Gang) endIfStopped(now time.Time) {
	if g.phase != Stopping {
		if g.allMembers(member.isFinal) {
			g.phase, g.deadline = Ended, time.Time{}
		}
		return
	}
	g.deadline = time.Time{}
	mayRun := false
	for _, m := range g.members {
		switch {
		case m.isFinal():
		case m.lost && !now.Before(m.leaseEnds):
		case m.lost:
			mayRun = true
			if g.deadline.IsZero() || m.leaseEnds.Before(g.deadline) {
				g.deadline = m.leaseEnds
			}
		default:
			mayRun = true
		}
	}
	if !mayRun {
		g.phase, g.deadline = Ended, time.Time{}
	}
}

func (g *Gang) actionForAll(k ActionKind) []Action {
	var out []Action
	for i, m := range g.members {
		if !m.isFinal() {
			out = append(out, Action{Index: i, Kind: k})
		}
	}
	return out
}

func (g *Gang) allMembers(ok func(member) bool) bool {
	for _, m := range g.members {
		if !ok(m) {
			return false
		}
	}
	return true
}
