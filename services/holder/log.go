package holder

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
)

const (
	// runLogInterval is how long events of runs are collected, so that the tasks of a gang share a line.
	runLogInterval = 100 * time.Millisecond
	// maxTasksPerLine bounds the length of a line. Further tasks of the same event are in another line.
	maxTasksPerLine = 128
	// maxLinesPerSecond bounds the log lines about runs, so that a flood of events costs little processor time.
	maxLinesPerSecond = 600
)

// startMessage is the message of the line about the start of a run.
const startMessage = "task start ordered"

// runEvent is what happened to tasks of a run. Equal events share a log line.
type runEvent struct {
	msg string
	job workload.JobID
	// occurrence and step are those of the tasks.
	occurrence, step int
	run              workload.RunNumber
	// detail is the value of detailKey, such as the reason of a stop.
	detailKey, detail string
	// cause is an error text, or why the tasks have waited; empty if there is none.
	cause string
}

// runEventTasks holds the tasks to which an event happened.
type runEventTasks struct {
	event runEvent
	at    time.Time
	// tasks lists the tasks in the form "INDEX@EXECUTOR".
	tasks []string
	// waited is the longest time that a task has waited for its start.
	waited time.Duration
	// checkpoint is set if a task starts from a checkpoint.
	checkpoint bool
}

// runLog collects the events of runs.
type runLog struct {
	pending map[runEvent]*runEventTasks
	// order lists the pending events in the order in which they began.
	order     []*runEventTasks
	flushedAt time.Time

	windowStart    time.Time
	lines, dropped int64
}

// add adds a task to an event and returns the event's tasks.
func (l *runLog) add(now time.Time, e runEvent, task workload.TaskRef, executor workload.ExecutorID) *runEventTasks {
	e.job, e.occurrence, e.step = task.Job, task.Occurrence, task.Step
	g := l.pending[e]
	if g == nil || len(g.tasks) == maxTasksPerLine {
		g = &runEventTasks{event: e, at: now}
		if l.pending == nil {
			l.pending = map[runEvent]*runEventTasks{}
		}
		l.pending[e] = g
		l.order = append(l.order, g)
	}
	g.tasks = append(g.tasks, strconv.Itoa(task.Index)+"@"+string(executor))
	return g
}

// flushRunLog writes the events that were collected for runLogInterval, or all of them if force is set.
func (s *Service) flushRunLog(now time.Time, force bool) {
	l := &s.term.runLog
	if len(l.order) == 0 || !force && now.Sub(l.flushedAt) < runLogInterval {
		return
	}
	if now.Sub(l.windowStart) >= time.Second {
		if l.dropped > 0 {
			s.log("log lines dropped", "lines", l.dropped)
			s.metrics.CountEvent("log_lines_dropped", l.dropped)
		}
		l.windowStart, l.lines, l.dropped = now, 0, 0
	}
	for _, g := range l.order {
		if l.lines++; l.lines > maxLinesPerSecond {
			l.dropped++
			continue
		}
		s.logRunEvent(g)
	}
	clear(l.pending)
	l.order, l.flushedAt = l.order[:0], now
}

func (s *Service) logRunEvent(g *runEventTasks) {
	e := &g.event
	line := []any{
		"job", e.job, "step", strconv.Itoa(e.occurrence) + "." + strconv.Itoa(e.step), "run", e.run, "at", g.at.UTC().Format(time.RFC3339Nano),
		"tasks", len(g.tasks), "placement", strings.Join(g.tasks, " "), e.detailKey, e.detail,
	}
	if e.msg == startMessage {
		line = append(line, "waited_ms", g.waited.Milliseconds(), "waited_for", e.cause, "from_checkpoint", g.checkpoint)
	} else if e.cause != "" {
		line = append(line, "error", e.cause)
	}
	s.log(e.msg, line...)
}

// runLine adds a task to the log lines about runs.
func (s *Service) runLine(msg string, task workload.TaskRef, run workload.RunNumber, executor workload.ExecutorID, detailKey, detail, cause string) *runEventTasks {
	return s.term.runLog.add(time.Now(), runEvent{msg: msg, run: run, detailKey: detailKey, detail: detail, cause: cause}, task, executor)
}

func (s *Service) logStart(a fleet.Start) {
	g := s.runLine(startMessage, a.Task, a.Run, a.Executor, "reason", a.Reason, string(a.WaitedFor))
	g.waited, g.checkpoint = max(g.waited, a.Waited), g.checkpoint || a.Checkpoint != ""
}

func (s *Service) logStartFailed(m startDone, result fleet.CallFailure) {
	s.runLine("task not started", m.action.Task, m.action.Run, m.action.Executor, "result", failureName(result), withoutAddress(m.err))
}

func (s *Service) logStop(a fleet.Stop) {
	s.runLine("task stop ordered", a.Task, a.Run, a.Executor, "reason", string(a.Reason), "")
}

func (s *Service) logWait(a fleet.WaitNotice) {
	s.log("job waits", "job", a.Job, "step", strconv.Itoa(a.Occurrence)+"."+strconv.Itoa(a.Step), "waited_ms", a.Waited.Milliseconds(), "waits_for", a.Reason,
		"excess", a.Excess, "guaranteed", a.Guaranteed,
		"capacity_cpu", a.Pool.Capacity.CPU, "capacity_mem_mb", a.Pool.Capacity.Memory, "capacity_gpu", a.Pool.Capacity.GPU,
		"staying_cpu", a.Pool.Staying.CPU, "staying_mem_mb", a.Pool.Staying.Memory, "staying_gpu", a.Pool.Staying.GPU,
		"out_of_use_gpu", a.Pool.OutOfUse, "reclaimable_gpu", a.Pool.Reclaimable)
}

func (s *Service) logLoss(a fleet.LossNotice) {
	s.log("executor lost", "executor", a.Executor, "address", a.Address, "reason", a.Reason, "runs", a.Runs,
		"unresponsive_ms", a.Unresponsive.Milliseconds(), "lease_remaining_ms", a.LeaseRemaining.Milliseconds())
}

func (s *Service) logRestart(a fleet.RestartNotice) {
	s.log("executor restarted", "executor", a.Executor, "address", a.Address, "evidence", a.Evidence, "runs", a.Runs,
		"earlier_clock_ms", a.EarlierClock.Milliseconds(), "clock_ms", a.Clock.Milliseconds())
}

func (s *Service) logStaleDeadline(a fleet.StaleDeadlineNotice) {
	s.log("order reached a later process of its executor", "executor", a.Executor, "order", a.Order,
		"clock_ms", a.Clock.Milliseconds(), "deadline_ahead_ms", a.Ahead.Milliseconds())
}

// loggedEnds identifies the last end of an executor's process that was logged.
type loggedEnds struct{ startedAtMS, number int64 }

// logEndedRuns logs the ends of a report. An executor reports an end again until its acknowledgement has arrived.
func (s *Service) logEndedRuns(m pollDone) {
	last := s.term.loggedEnds[m.action.Executor]
	if last.startedAtMS != m.report.StartedAtMS {
		last = loggedEnds{startedAtMS: m.report.StartedAtMS}
	}
	for i := range m.report.Ended {
		e := &m.report.Ended[i]
		if e.Number > last.number {
			last.number = e.Number
			s.runLine("task ended", e.Task, e.Run, m.action.Executor, "how", string(cmp.Or(e.Outcome, "unknown")), "")
		}
	}
	if len(m.report.Ended) > 0 {
		s.term.loggedEnds[m.action.Executor] = last
	}
}

// withoutAddress returns the innermost cause of a failed call. The texts around it name the address of the executor, so
// that the tasks of a gang could not share a line.
func withoutAddress(err error) string {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err.Error()
		}
		inner := u.Unwrap()
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// failureNames holds the names of call failures in log lines and metric names.
var failureNames = map[fleet.CallFailure]string{
	fleet.CallUnanswered:           "unanswered",
	fleet.CallUnansweredProven:     "unanswered_proven",
	fleet.CallNotConnected:         "not_connected",
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

// noteOversizedCheckpoints counts checkpoints that were too large to be kept, and logs when an executor begins to report them.
func (s *Service) noteOversizedCheckpoints(executor workload.ExecutorID, r *workload.Report) {
	n, task := r.OversizedCheckpoints()
	if n == 0 {
		delete(s.term.oversized, executor)
		return
	}
	s.metrics.CountEvent("checkpoints_oversized", int64(n))
	if !s.term.oversized[executor] {
		s.term.oversized[executor] = true
		s.log("checkpoints too large to be kept", "executor", executor, "job", task.Job, "task", task, "runs", n, "limit_bytes", s.checkpointBytes())
	}
}
