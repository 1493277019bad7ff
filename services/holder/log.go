package holder

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
)

// maxLinesPerSecond bounds the log lines about single runs for each message, so that a burst neither costs much
// processor time for logging nor hides lines with other messages.
const maxLinesPerSecond = 60

// runLogLimiter limits the rate of log lines about single runs.
type runLogLimiter struct {
	windowStart time.Time
	lineCounts  map[string]int
	dropped     int64
}

// runLine logs a line about a run unless the limit for the current second is reached.
func (s *Service) runLine(msg string, keysAndValues ...any) {
	l := &s.term.runLog
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		if l.dropped > 0 {
			s.log("log lines dropped", "lines", l.dropped)
			s.metrics.CountEvent("log_lines_dropped", l.dropped)
		}
		l.windowStart, l.lineCounts, l.dropped = now, map[string]int{}, 0
	}
	if l.lineCounts[msg]++; l.lineCounts[msg] > maxLinesPerSecond {
		l.dropped++
		return
	}
	s.log(msg, keysAndValues...)
}

func (s *Service) logStart(a fleet.Start) {
	s.runLine("task start ordered", "task", a.Task, "run", a.Run, "executor", a.Executor, "reason", a.Reason,
		"waited_ms", a.Waited.Milliseconds(), "from_checkpoint", a.Checkpoint != "")
}

func (s *Service) logStartFailed(m startDone, result fleet.CallFailure) {
	s.runLine("task not started", "task", m.action.Task, "run", m.action.Run, "executor", m.action.Executor,
		"result", failureName(result), "error", m.err.Error())
}

func (s *Service) logStop(a fleet.Stop) {
	s.runLine("task stop ordered", "task", a.Task, "run", a.Run, "executor", a.Executor, "reason", a.Reason)
}

func (s *Service) logEndedRuns(m pollDone) {
	for i := range m.report.Ended {
		e := &m.report.Ended[i]
		if e.Number <= m.action.AckedThrough {
			continue
		}
		if e.Outcome != workload.Done {
			s.runLine("task ended", "task", e.Task, "run", e.Run, "executor", m.action.Executor, "how", e.Outcome, "number", e.Number)
		}
	}
}

// failureNames holds the names of call failures in log lines and metric names.
var failureNames = map[fleet.CallFailure]string{
	fleet.CallUnanswered:           "unanswered",
	fleet.CallRefused:              "connection_refused",
	fleet.CallNotExecuted:          "not_done",
	fleet.CallUnhealthy:            "unhealthy",
	fleet.CallWrongExecutor:        "replaced",
	fleet.CallStaleRun:             "old_run",
	fleet.CallDeadlinePassed:       "late",
	fleet.CallInsufficientCapacity: "no_room",
	fleet.CallInvalidTicket:        "no_ticket",
}

func failureName(r fleet.CallFailure) string { return failureNames[r] }
