// Package gang decides the commands that start and stop all tasks of a gang together.
//
// A gang starts in two steps. All members are held: started fully throttled under a short hold time.
// Once all are held they are released. If a member fails in either step, no member runs on.
package gang

import (
	"github.com/verbenaflow/verbenaflow/api/model"
)

// Phase is the phase of a gang.
type Phase string

// Phases of a gang.
const (
	Holding   Phase = "holding"
	Releasing Phase = "releasing"
	Running   Phase = "running"
	Stopping  Phase = "stopping"
	Ended     Phase = "ended"
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
	Hold    ActionKind = "hold"
	Release ActionKind = "release"
	Stop    ActionKind = "stop"
)

// Gang is the state of one attempt to run a gang.
type Gang struct {
	Phase   Phase
	Members []model.TaskState
	// Failed is true if the gang ends because a member failed or was lost.
	Failed bool
}

// New returns a gang of n members and the actions that hold them.
func New(n int) (*Gang, []Action) {
	g := &Gang{Phase: Holding, Members: make([]model.TaskState, n)}
	return g, g.all(Hold)
}

// Observe applies a member's state and returns the actions that follow.
func (g *Gang) Observe(index int, s model.TaskState) []Action {
	if g.Phase == Ended || index < 0 || index >= len(g.Members) || g.Members[index].Final() {
		return nil
	}
	g.Members[index] = s
	switch {
	case s == model.TaskFailed || s == model.TaskStopped:
		return g.abort()
	case g.Phase == Holding && g.every(func(t model.TaskState) bool { return t == model.TaskHeld }):
		g.Phase = Releasing
		return g.all(Release)
	case g.Phase == Releasing && g.every(func(t model.TaskState) bool { return t == model.TaskRunning || t == model.TaskSucceeded }):
		g.Phase = Running
	}
	if g.every(model.TaskState.Final) {
		g.Phase = Ended
	}
	return nil
}

// Cancel returns the actions that stop the gang.
func (g *Gang) Cancel() []Action {
	if g.Phase == Ended || g.Phase == Stopping {
		return nil
	}
	return g.abort()
}

func (g *Gang) abort() []Action {
	g.Failed = true
	if g.every(model.TaskState.Final) {
		g.Phase = Ended
		return nil
	}
	if g.Phase == Stopping {
		return nil
	}
	g.Phase = Stopping
	return g.all(Stop)
}

func (g *Gang) all(k ActionKind) []Action {
	var out []Action
	for i, s := range g.Members {
		if !s.Final() {
			out = append(out, Action{Index: i, Kind: k})
		}
	}
	return out
}

func (g *Gang) every(ok func(model.TaskState) bool) bool {
	for _, s := range g.Members {
		if !ok(s) {
			return false
		}
	}
	return true
}
