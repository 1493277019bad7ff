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
			s.metrics.Event("log_lines_dropped", l.dropped)
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
		"waited_ms", a.Waited.Milliseconds(), "from_checkpoint", a.Saved != "")
}

func (s *Service) logNotStarted(m startDone, result fleet.CallResult) {
	s.runLine("task not started", "task", m.action.Task, "run", m.action.Run, "executor", m.action.Executor,
		"result", resultName(result), "error", m.err.Error())
}

func (s *Service) logStop(a fleet.Stop) {
	s.runLine("task stop ordered", "task", a.Task, "run", a.Run, "executor", a.Executor, "reason", a.Reason)
}

func (s *Service) logEndedRuns(m pollDone) {
	for i := range m.report.Ended {
		e := &m.report.Ended[i]
		if e.Number <= m.action.SeenUpTo {
			continue
		}
		if e.How != workload.Done {
			s.runLine("task ended", "task", e.Task, "run", e.Run, "executor", m.action.Executor, "how", e.How, "number", e.Number)
		}
	}
}

// resultNames holds the names of results in log lines and metric names.
var resultNames = map[fleet.CallResult]string{
	fleet.CallUnanswered: "unanswered",
	fleet.CallRefused:    "connection_refused",
	fleet.CallNotDone:    "not_done",
	fleet.CallUnhealthy:  "unhealthy",
	fleet.CallReplaced:   "replaced",
	fleet.CallOldRun:     "old_run",
	fleet.CallLate:       "late",
	fleet.CallNoRoom:     "no_room",
	fleet.CallNoTicket:   "no_ticket",
}

func resultName(r fleet.CallResult) string { return resultNames[r] }
