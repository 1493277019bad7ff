package runner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// gangWait is the time after which a member of an incomplete gang ends. The users' sites have 3 s.
const gangWait = 3 * time.Second

// GangSpec returns the specification of a task that runs for runTime once all members of its gang are present.
func GangSpec(runTime time.Duration, members int) string {
	return runTime.String() + gangSeparator + strconv.Itoa(members)
}

// ServeSpec returns the specification of a long-running task that has started up after a time and then works until it is stopped.
func ServeSpec(startup time.Duration) string { return servePrefix + startup.String() }

const (
	servePrefix = "serve "
	// serveTime is the run time of a long-running task. No test lasts as long.
	serveTime = 1000 * time.Hour
)

const gangSeparator = " gang "

// parseSpec returns the run time of a task, the number of members of its gang, 0 for a task without a gang, and the size of
// its checkpoints in bytes.
func parseSpec(spec string) (runTime time.Duration, members, saveBytes int, err error) {
	text, gang, found := strings.Cut(spec, gangSeparator)
	if found {
		if members, err = strconv.Atoi(gang); err != nil {
			return 0, 0, 0, err
		}
	}
	text, size, found := strings.Cut(text, " ")
	if found {
		if saveBytes, err = strconv.Atoi(size); err != nil || saveBytes < 0 {
			return 0, 0, 0, &strconv.NumError{Func: "parseSpec", Num: size, Err: strconv.ErrRange}
		}
	}
	runTime, err = time.ParseDuration(text)
	return runTime, members, saveBytes, err
}

// Gangs knows which members of gangs are present on the executors of a platform. Run owns its state; all other methods
// send calls to Run and are safe for concurrent use.
type Gangs struct {
	calls chan func(map[gangRun]*gang)
	ended chan struct{}
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job              workload.JobID
	occurrence, step int
	run              workload.RunNumber
}

type gang struct {
	present map[int]bool
	status  gangStatus
}

type gangStatus struct {
	// completeAt is when all members were present; zero before.
	completeAt time.Time
	// firstEnd is how the first member ended, or empty.
	firstEnd workload.Outcome
}

// NewGangs returns a record without gangs.
func NewGangs() *Gangs {
	return &Gangs{calls: make(chan func(map[gangRun]*gang)), ended: make(chan struct{})}
}

// Run serves until ctx ends.
func (g *Gangs) Run(ctx context.Context) {
	defer close(g.ended)
	gangs := map[gangRun]*gang{}
	for {
		select {
		case call := <-g.calls:
			call(gangs)
		case <-ctx.Done():
			return
		}
	}
}

// update changes the gang of a member and returns its status.
func (g *Gangs) update(r *run, change func(*gang)) gangStatus {
	key := gangRun{job: r.task.Job, occurrence: r.task.Occurrence, step: r.task.Step, run: r.number}
	out := make(chan gangStatus, 1)
	call := func(gangs map[gangRun]*gang) {
		if gangs[key] == nil {
			gangs[key] = &gang{present: map[int]bool{}}
		}
		change(gangs[key])
		out <- gangs[key].status
	}
	select {
	case g.calls <- call:
		return <-out
	case <-g.ended:
		return gangStatus{}
	}
}

// join records that a member has started.
func (g *Gangs) join(r *run) {
	g.update(r, func(x *gang) {
		x.present[r.task.Index] = true
		if x.status.completeAt.IsZero() && len(x.present) >= r.members {
			x.status.completeAt = time.Now()
		}
	})
}

// leave records the end of a member.
func (g *Gangs) leave(r *run, outcome workload.Outcome) {
	g.update(r, func(x *gang) {
		delete(x.present, r.task.Index)
		if x.status.firstEnd == "" {
			x.status.firstEnd = outcome
		}
	})
}

func (g *Gangs) status(r *run) gangStatus { return g.update(r, func(*gang) {}) }

// advanceMember ends a member as its gang requires: all members are done together, and none works without the others.
func (st *state) advanceMember(now time.Time, r *run) {
	s := st.gangs.status(r)
	switch {
	case s.firstEnd == workload.Done:
		st.endRun(r, workload.Done)
	case s.firstEnd != "":
		st.endRun(r, workload.GangBroken)
	case !s.completeAt.IsZero():
		r.record.Worked = true
		if now.After(s.completeAt.Add(r.duration)) {
			st.endRun(r, workload.Done)
		}
	case now.Sub(r.record.Started) > gangWait:
		st.endRun(r, workload.GangNotStarted)
	}
}
