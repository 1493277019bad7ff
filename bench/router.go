package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/domains"
)

const (
	// publishEvery and heartbeatEvery are the intervals at which a load is published and sent to the others.
	publishEvery, heartbeatEvery = time.Second, 2 * time.Second
	// idleEvery is the interval of transfer rounds while no load changes.
	idleEvery = 30 * time.Second
	// transferTime is the time from the decision to hand a job over until it is queued at the target: two log writes and
	// an exchange between regions.
	transferTime = 200 * time.Millisecond
)

// snapshot is the load of a failure domain from a time on.
type snapshot struct {
	at   time.Time
	load model.DomainLoad
}

// router sends jobs to failure domains by loads as old as the others know them.
type router struct {
	rules domains.Rules
	// choice and transfer enable the two decisions.
	choice, transfer bool
	regions          int
	busy             []map[model.WorkerID]int
	history          [][]snapshot
	inFlight         []int
	// pending holds the times of the scheduled rounds.
	pending map[time.Time]bool
	m       routeMeasures
}

// routeMeasures count what the router did.
type routeMeasures struct {
	transfers, refused int
	ended, moved       int
	crossed            int
	// lostWork is the checkpointed work in GPU seconds that transfers gave up, windowLost the part of it while a failure
	// domain left and returned.
	lostWork, windowLost float64
	// mostMoves is the largest number of transfers of one job.
	mostMoves int
}

func newRouter(s scenario, regions int, v variant) *router {
	r := &router{rules: v.rules, choice: v.choice, transfer: v.transfer, regions: regions, pending: make(map[time.Time]bool)}
	for range s.domains {
		r.busy = append(r.busy, make(map[model.WorkerID]int))
		r.history, r.inFlight = append(r.history, nil), append(r.inFlight, 0)
	}
	return r
}

// region returns the region of a failure domain.
func (r *router) region(d int) model.Region {
	return model.Region("r" + string(rune('0'+d*r.regions/len(r.busy))))
}

// load returns the present load of a failure domain.
func (r *router) load(l *loop, d int) model.DomainLoad {
	out := model.DomainLoad{Domain: domainName(d), Region: r.region(d), Starts: !l.out[d], Out: l.out[d], Heard: l.now}
	for _, w := range l.workers[d] {
		if !w.Usable {
			continue
		}
		out.GPUs += model.GPUsPerWorker
		if r.busy[d][w.ID] == 0 {
			out.FreeWorkers++
		}
	}
	out.FreeGPUs = max(0, l.freeIn(d))
	for _, j := range l.waiting[d] {
		out.QueuedGPUs += j.Spec.GPUs()
		out.QueuedJobs++
	}
	return out
}

// publish keeps the loads that have changed and schedules the rounds at which others learn of them.
func (r *router) publish(l *loop) {
	changed := false
	for d := range r.history {
		now := r.load(l, d)
		h := r.history[d]
		if n := len(h); n > 0 {
			last := h[n-1].load
			if last.Heard = now.Heard; last == now {
				continue
			}
		}
		changed = true
		if len(h) > 1000 {
			h = slices.Clone(h[len(h)-100:])
		}
		r.history[d] = append(h, snapshot{at: l.now, load: now})
	}
	if changed {
		// The others know the change one publication and one heartbeat later.
		next := l.now.Truncate(heartbeatEvery).Add(heartbeatEvery)
		r.schedule(l, next)
		r.schedule(l, next.Add(heartbeatEvery))
	}
}

// schedule runs a transfer round at a time, unless there is one.
func (r *router) schedule(l *loop, at time.Time) {
	if r.transfer && !r.pending[at] {
		r.pending[at] = true
		l.at(at, r.round)
	}
}

// seen returns the load of a failure domain as others know it: published on a whole second and sent with the last
// heartbeat.
func (r *router) seen(l *loop, d int) (model.DomainLoad, bool) {
	// Heartbeats of different failure domains are sent at different times.
	phase := time.Duration(d) * heartbeatEvery / time.Duration(len(r.busy))
	sent := l.now.Add(-phase).Truncate(heartbeatEvery).Add(phase)
	published := sent.Truncate(publishEvery)
	h := r.history[d]
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(published) {
			out := h[i].load
			out.Heard = sent
			return out, true
		}
	}
	return model.DomainLoad{}, false
}

// loads returns what a failure domain knows: its own present load and the published ones of the others.
func (r *router) loads(l *loop, own int) []model.DomainLoad {
	out := []model.DomainLoad{r.load(l, own)}
	for d := range r.busy {
		if s, ok := r.seen(l, d); ok && d != own {
			out = append(out, s)
		}
	}
	return out
}

// choose returns the failure domain to which a job is submitted. One that is out refuses, and the next is tried.
func (r *router) choose(l *loop, j *simJob) int {
	if !r.choice {
		return j.home
	}
	home := domains.Origin{Domain: domainName(j.home), Region: r.region(j.home)}
	for _, name := range r.rules.Choose(r.loads(l, j.home), j.Spec, home, l.now) {
		if d := l.indexOf(name); !l.out[d] {
			return d
		}
	}
	return j.home
}

func (l *loop) indexOf(name model.FailureDomain) int {
	for d := range l.domains {
		if domainName(d) == name {
			return d
		}
	}
	panic("unknown failure domain " + string(name))
}

// round begins the transfers of all failure domains.
func (r *router) round(l *loop) {
	delete(r.pending, l.now)
	left := false
	for d := range r.busy {
		if len(l.waiting[d]) == 0 {
			continue
		}
		left = true
		all := r.loads(l, d)
		for _, t := range r.rules.SelectTransfers(all[0], all[1:], l.waitingIn(d), r.inFlight[d], l.now) {
			r.begin(l, l.jobs[t.Job], l.indexOf(t.Target))
		}
	}
	if left {
		r.schedule(l, l.now.Truncate(idleEvery).Add(idleEvery))
	}
}

func (l *loop) waitingIn(d int) []domains.QueuedJob {
	out := make([]domains.QueuedJob, 0, len(l.waiting[d]))
	for _, j := range l.waiting[d] {
		out = append(out, domains.QueuedJob{
			Job: j.Job, Spec: j.Spec, Submitted: j.Submitted, QueuedSince: j.since,
			Progress:  1 - float64(j.left)/float64(j.actual),
			Transfers: j.transfers, LastTransfer: j.transferred,
		})
	}
	slices.SortFunc(out, func(a, b domains.QueuedJob) int { return cmp.Compare(a.Job, b.Job) })
	return out
}

// begin takes a job out of the queue of its failure domain.
func (r *router) begin(l *loop, j *simJob, target int) {
	from := j.domain
	l.planners[from].Remove(j.Job)
	delete(l.waiting[from], j.Job)
	l.touched[from] = true
	r.inFlight[from]++
	r.m.transfers++
	l.at(l.now.Add(transferTime), func(l *loop) { r.finish(l, j, from, target) })
}

// finish queues a job at its target, or at its source again if the target is out or can never run it.
func (r *router) finish(l *loop, j *simJob, from, target int) {
	r.inFlight[from]--
	j.transfers, j.transferred = j.transfers+1, l.now
	r.m.mostMoves = max(r.m.mostMoves, j.transfers)
	c, checks := l.planners[target].(checker)
	if l.out[target] || checks && !c.Check(j.Spec) {
		r.m.refused++
		target = from
	} else {
		r.giveUp(l, j)
	}
	j.domain = target
	w := j.QueuedJob
	w.Progress = 1 - float64(j.left)/float64(j.actual)
	l.waiting[target][j.Job] = j
	l.planners[target].Enqueue(w)
	l.touched[target] = true
}

// giveUp drops the checkpoint of a job.
func (r *router) giveUp(l *loop, j *simJob) {
	// The work left includes the time to restore a checkpoint.
	work := max(0, j.actual-j.left).Seconds() * float64(j.Spec.GPUs())
	r.m.lostWork += work
	if !l.now.Before(l.window[0]) && l.now.Before(l.window[1]) {
		r.m.windowLost += work
	}
	j.left, j.since = j.actual, l.now
}

// completed counts a job that has ended.
func (r *router) completed(j *simJob) {
	r.m.ended++
	if j.domain != j.home {
		r.m.moved++
	}
	if r.region(j.domain) != r.region(j.home) {
		r.m.crossed++
	}
}
