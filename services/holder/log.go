package holder

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
)

// maxLinesPerSecond bounds the log lines about single runs, for each kind of line, so that a burst neither spends the
// processor on its log nor hides lines of another kind.
const maxLinesPerSecond = 60

// actionLog bounds the lines about single runs.
type actionLog struct {
	second  time.Time
	lines   map[string]int
	dropped int64
}

// runLine writes a line about a run unless the bound of this second is reached.
func (s *Service) runLine(msg string, keysAndValues ...any) {
	l := &s.term.log
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		if l.dropped > 0 {
			s.log("log lines dropped", "lines", l.dropped)
			s.metrics.Event("log_lines_dropped", l.dropped)
		}
		l.second, l.lines, l.dropped = now, map[string]int{}, 0
	}
	if l.lines[msg]++; l.lines[msg] > maxLinesPerSecond {
		l.dropped++
		return
	}
	s.log(msg, keysAndValues...)
}

func (s *Service) logStart(a fleet.Start) {
	s.runLine("task start ordered", "task", a.Task, "run", a.Run, "executor", a.Executor, "reason", a.Reason,
		"waited_ms", a.Waited.Milliseconds(), "from_checkpoint", a.Saved != "")
}

func (s *Service) logNotStarted(m startDone, why fleet.CallResult) {
	s.runLine("task not started", "task", m.order.Task, "run", m.order.Run, "executor", m.order.Executor,
		"result", resultName(why), "error", m.err.Error())
}

func (s *Service) logStop(a fleet.Stop) {
	s.runLine("task stop ordered", "task", a.Task, "run", a.Run, "executor", a.Executor, "reason", a.Reason)
}

func (s *Service) logEnds(m lookDone) {
	for i := range m.report.Ended {
		e := &m.report.Ended[i]
		if e.Number <= m.order.SeenUpTo {
			continue
		}
		if e.How != workload.Done {
			s.runLine("task ended", "task", e.Task, "run", e.Run, "executor", m.order.Executor, "how", e.How, "number", e.Number)
		}
	}
}

// resultNames are the values of the label that counts failed calls.
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
