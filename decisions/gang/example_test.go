package gang_test

import (
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
)

// Both members are held before either is released. The failure of one member stops the other.
func ExampleGang() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	g, actions := gang.New(2, 0, now)
	fmt.Println(g.Phase(), actions)
	report := func(index int, state model.TaskState) {
		actions := g.ApplyReport(index, model.TaskStatus{State: state}, now)
		fmt.Println(state, index, "->", g.Phase(), actions)
	}
	report(0, model.TaskHeld)
	report(1, model.TaskHeld)
	report(0, model.TaskRunning)
	report(1, model.TaskRunning)
	report(1, model.TaskFailed)
	report(0, model.TaskStopped)
	fmt.Println("cause:", g.Cause())
	// Output:
	// holding [{0 hold} {1 hold}]
	// held 0 -> holding []
	// held 1 -> releasing [{0 release} {1 release}]
	// running 0 -> releasing []
	// running 1 -> running []
	// failed 1 -> stopping [{0 stop}]
	// stopped 0 -> ended []
	// cause: member_failed
}
