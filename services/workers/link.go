package workers

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
)

type (
	exchangeDue struct {
		worker model.WorkerID
		link   *link
	}
	exchangeDone struct {
		worker model.WorkerID
		link   *link
		epoch  model.Epoch
		report worker.Report
		err    error
	}
)

// Kind implements kernel.Message.
func (exchangeDue) Kind() string { return "exchange_due" }

// Kind implements kernel.Message.
func (exchangeDone) Kind() string { return "exchange_done" }

// command is a command with the local time after which it is not sent; zero means no limit.
type command struct {
	worker.Command
	notAfter time.Time
}

func (c command) expired(now time.Time) bool { return !c.notAfter.IsZero() && !now.Before(c.notAfter) }

// starts reports whether the command lets a task start.
func (c command) starts() bool { return c.Op == worker.OpHold || c.Op == worker.OpRelease }

// link is the state of one worker's connection. The connection itself belongs to the link's task.
type link struct {
	address string
	// work hands exchanges to the task; closing it ends the task.
	work chan worker.Exchange
	// seen is the number of the last report that the scheduler has; 0 asks for a full report.
	seen    uint64
	pending []command
	// sent holds the commands of the exchange in progress.
	sent []command
	busy bool
	// lost is true while the worker counts as lost; lostTold once the scheduler knows.
	lost, lostTold bool
	lastHeard      time.Time
	// begun is the start of the last exchange, failing that of the first failed one in a row; zero for none.
	begun, failing time.Time
	// live holds the tasks that may run: those of holds that were sent and those that were reported, until a report
	// shows their end.
	live map[model.TaskID]bool
	// idle is true while the exchanges follow idleEvery.
	idle bool
	// renew is true while the worker's lease is renewed before those of all workers are. grant is true until
	// the exchange that follows that permission; granted is true during it.
	renew, grant, granted bool
	// lastRenewed is the time of the last exchange, by which this holder or an earlier one may have renewed
	// the worker's lease.
	lastRenewed time.Time
	// refused holds refusals that the scheduler has not received yet.
	refused []message.TaskRefusal
	cancel  func()
	spread  time.Duration
}

// open starts the task that owns the connection to a worker.
func (s *Service) open(c *kernel.Context, id model.WorkerID, address string) *link {
	s.opened++
	l := &link{
		address: address, work: make(chan worker.Exchange, 1), lastHeard: time.Now(),
		spread: exchangeEvery * time.Duration(s.opened%spreadSlots) / spreadSlots,
	}
	client, post, work := s.dial(address), c.Post(), l.work
	c.Spawn(func(ctx context.Context) kernel.Message {
		defer client.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case x, open := <-work:
				if !open {
					return nil
				}
				done := exchangeDone{worker: id, link: l, epoch: x.Epoch}
				done.report, done.err = call(ctx, client, x)
				if !post(done) {
					return nil
				}
			}
		}
	})
	return l
}

func call(ctx context.Context, client worker.Client, x worker.Exchange) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return client.Exchange(ctx, x)
}

// reset prepares the link for another epoch.
func (l *link) reset() {
	l.seen, l.pending, l.refused = 0, nil, nil
	l.lost, l.lostTold, l.lastHeard = false, false, time.Now()
	l.renew, l.grant, l.failing, l.live = false, false, time.Time{}, nil
}

// follow updates the live tasks by the commands and the report of an exchange.
func (l *link) follow(r worker.Report) {
	for _, f := range r.Refusals {
		if f.Op == worker.OpHold {
			delete(l.live, f.Task)
		}
	}
	for _, t := range r.Tasks {
		if t.State.Final() {
			delete(l.live, t.Task)
			continue
		}
		l.mayRun(t.Task)
	}
}

func (l *link) mayRun(t model.TaskID) {
	if l.live == nil {
		l.live = make(map[model.TaskID]bool)
	}
	l.live[t] = true
}

// add queues a command. A stop or checkpoint withdraws start commands of the same task that wait.
func (l *link) add(cmd command) {
	l.pending = slices.DeleteFunc(l.pending, func(p command) bool {
		return p.Task == cmd.Task && (p.Op == cmd.Op || p.starts() && !cmd.starts())
	})
	l.pending = append(l.pending, cmd)
}

// take removes the commands to send. Expired start commands become refusals.
func (l *link) take(now time.Time) []worker.Command {
	l.sent = l.sent[:0]
	var out []worker.Command
	for _, cmd := range l.pending {
		if cmd.expired(now) {
			l.refused = append(l.refused, message.TaskRefusal{Task: cmd.Task, Op: message.TaskOp(cmd.Op)})
			continue
		}
		if cmd.Op == worker.OpHold {
			l.mayRun(cmd.Task)
		}
		l.sent = append(l.sent, cmd)
		out = append(out, cmd.Command)
	}
	l.pending = nil
	return out
}

// restore queues the commands of a failed exchange again, before those that were added since. All commands
// are idempotent, so that an exchange whose answer was lost does no harm.
func (l *link) restore() {
	later := l.pending
	l.pending = slices.Clone(l.sent)
	for _, cmd := range later {
		l.add(cmd)
	}
}

// exchange starts an exchange with a worker unless one is in progress.
func (s *Service) exchange(c *kernel.Context, id model.WorkerID, l *link) {
	if l.busy || s.epoch.IsZero() {
		return
	}
	if l.cancel != nil {
		l.cancel()
	}
	now := time.Now()
	x := worker.Exchange{
		Holder: s.vm, Epoch: s.epoch, Domain: s.domain, Seen: l.seen, Commands: l.take(now),
	}
	if !l.lost { // The scheduler counts on the end of the lease of a lost worker.
		l.lastRenewed = now
		if l.renew || s.renewAll == s.epoch {
			x.LeaseMS = gang.WorkerLeaseDuration.Milliseconds()
		}
	}
	l.grant, l.granted = false, l.grant
	if len(l.refused) > 0 {
		s.report(c, message.WorkerReport{Worker: id, Epoch: s.epoch}, l)
	}
	l.busy, l.begun = true, now
	l.work <- x
}

func (s *Service) finish(c *kernel.Context, m exchangeDone) {
	l := m.link
	l.busy = false
	if s.links[m.worker] != l {
		return
	}
	if m.epoch != s.epoch {
		s.exchange(c, m.worker, l)
		return
	}
	next := exchangeEvery
	switch {
	case m.err != nil:
		s.metrics.CountRetry(failure.RetryWorkerUnreachable)
		if l.failing.IsZero() {
			l.failing = l.begun
		}
		l.restore()
		s.checkLost(c, m.worker, l)
		next = exchangeRetry
	case !m.report.Accepted:
		klog.InfoS("worker refused the epoch", "worker", m.worker, "epoch", m.epoch, "accepted", m.report.Epoch)
		_ = c.Send(names.Authority, message.EpochRefused{Worker: m.worker, Epoch: m.report.Epoch})
	default:
		next = s.accept(c, m, l)
	}
	if m.err == nil && (len(l.pending) > 0 || l.grant) {
		s.exchange(c, m.worker, l)
		return
	}
	l.cancel = c.After(next, exchangeDue{worker: m.worker, link: l})
}

// accept delivers the report of an exchange and returns the delay of the next one.
func (s *Service) accept(c *kernel.Context, m exchangeDone, l *link) time.Duration {
	next := exchangeEvery
	l.follow(m.report)
	switch {
	case len(l.sent) > 0:
		next = exchangeSoon
	case l.seen == 0 || l.granted:
		next -= l.spread
	case len(l.live) == 0 && s.renewAll == s.epoch:
		next = idleEvery
		if !l.idle { // The exchanges of many workers were spread over exchangeEvery only.
			next -= l.spread
		}
	}
	l.idle = next > exchangeEvery
	l.lost, l.lostTold, l.lastHeard, l.failing = false, false, time.Now(), time.Time{}
	for _, r := range m.report.Refusals {
		l.refused = append(l.refused, message.TaskRefusal{Task: r.Task, Op: message.TaskOp(r.Op)})
	}
	out := message.WorkerReport{Worker: m.worker, Epoch: m.epoch, Full: m.report.Full, Tasks: m.report.Tasks}
	if (m.report.Full || len(out.Tasks)+len(l.refused) > 0) && !s.report(c, out, l) {
		return next // The worker repeats the same differences, because seen does not advance.
	}
	l.seen = m.report.Number
	return next
}

func (s *Service) report(c *kernel.Context, out message.WorkerReport, l *link) bool {
	out.Refusals = l.refused
	if !s.tell(c, out) {
		return false
	}
	l.refused = nil
	return true
}

// checkLost declares a silent worker lost. Commands that wait for it are dropped: its tasks end with their
// lease, and the scheduler stops those that a later full report still shows.
func (s *Service) checkLost(c *kernel.Context, id model.WorkerID, l *link) {
	if time.Since(l.lastHeard) < lostAfter || time.Since(l.failing) < failingFor {
		return
	}
	if !l.lost {
		klog.InfoS("worker lost", "worker", id, "silent", time.Since(l.lastHeard).String())
		l.lost, l.pending, l.refused, l.seen, l.live = true, nil, nil, 0, nil
		l.renew, l.grant = false, false
	}
	s.tellLost(c, id, l)
}

func (s *Service) tellLost(c *kernel.Context, id model.WorkerID, l *link) {
	if l.lostTold || s.epoch.IsZero() {
		return
	}
	ends := l.lastRenewed.Add(gang.WorkerLeaseDuration + exchangeTimeout)
	l.lostTold = s.tell(c, message.WorkerLost{Worker: id, Epoch: s.epoch, LeaseEnds: ends})
}
