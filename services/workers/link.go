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

// command is a command for a worker. It is not sent after the local time notAfter; zero means no limit.
type command struct {
	worker.Command
	notAfter time.Time
}

func (c command) expired(now time.Time) bool { return !c.notAfter.IsZero() && !now.Before(c.notAfter) }

// startsTask reports whether the command is part of the start of a task.
func (c command) startsTask() bool { return c.Op == worker.OpHold || c.Op == worker.OpRelease }

// link is the state of the exchanges with one worker. The link's task owns the connection.
type link struct {
	address string
	// exchanges passes exchanges to the link's task; closing it ends the task.
	exchanges chan worker.Exchange
	// lastDelivered is the number of the last report that was delivered to the scheduler; 0 requests a full report.
	lastDelivered uint64
	pending       []command
	// sent holds the commands of the last exchange, which are queued again if it fails.
	sent     []command
	inFlight bool
	// lost is true while the worker counts as lost; lossReported is true once the scheduler has been told.
	lost, lossReported bool
	lastHeard          time.Time
	// startedAt is the start of the last exchange. failingSince is the start of the first exchange that has
	// failed since the last accepted report, or zero if none has.
	startedAt, failingSince time.Time
	// liveTasks holds the tasks that may be running: those for which a hold was sent and those that were reported. A task
	// is removed once a report shows its end or the refusal of its hold.
	liveTasks map[model.TaskID]bool
	// idle is true if the next exchange was scheduled after more than exchangeInterval.
	idle bool
	// renew is true if the scheduler permits the renewal of this worker's lease before that of all leases. firstRenewalDue
	// is true from that permission to the start of the next exchange, firstRenewalInFlight during that exchange.
	renew, firstRenewalDue, firstRenewalInFlight bool
	// lastRenewed is the start of the last exchange before the worker counted as lost. This holder or an earlier one
	// may have renewed the worker's lease up to that time.
	lastRenewed time.Time
	// refusals holds refusals that the scheduler has not received yet.
	refusals    []message.TaskRefusal
	cancelTimer func()
	phase       time.Duration
}

// openLink starts the task that owns the connection to a worker.
func (s *Service) openLink(c *kernel.Context, id model.WorkerID, address string) *link {
	s.openedLinks++
	l := &link{
		address: address, exchanges: make(chan worker.Exchange, 1), lastHeard: time.Now(),
		phase: exchangeInterval * time.Duration(s.openedLinks%phaseCount) / phaseCount,
	}
	client, post, exchanges := s.dial(address), c.TaskSender(), l.exchanges
	c.Spawn(func(ctx context.Context) kernel.Message {
		defer client.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case x, ok := <-exchanges:
				if !ok {
					return nil
				}
				done := exchangeDone{worker: id, link: l, epoch: x.Epoch}
				done.report, done.err = exchangeWithTimeout(ctx, client, x)
				if !post(done) {
					return nil
				}
			}
		}
	})
	return l
}

func exchangeWithTimeout(ctx context.Context, client worker.Client, x worker.Exchange) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return client.Exchange(ctx, x)
}

// reset prepares the link for a new epoch.
func (l *link) reset() {
	l.lastDelivered, l.pending, l.refusals = 0, nil, nil
	l.lost, l.lossReported, l.lastHeard = false, false, time.Now()
	l.renew, l.firstRenewalDue, l.failingSince, l.liveTasks = false, false, time.Time{}, nil
}

// updateLiveTasks applies the report of an exchange to the live tasks.
func (l *link) updateLiveTasks(r worker.Report) {
	for _, f := range r.Refusals {
		if f.Op == worker.OpHold {
			delete(l.liveTasks, f.Task)
		}
	}
	for _, t := range r.Tasks {
		if t.State.Final() {
			delete(l.liveTasks, t.Task)
			continue
		}
		l.addLiveTask(t.Task)
	}
}

func (l *link) addLiveTask(t model.TaskID) {
	if l.liveTasks == nil {
		l.liveTasks = make(map[model.TaskID]bool)
	}
	l.liveTasks[t] = true
}

// enqueue queues a command. It replaces a queued command of the same kind for the same task. A command that does not
// start the task, such as a stop, also removes the queued commands that start it.
func (l *link) enqueue(cmd command) {
	l.pending = slices.DeleteFunc(l.pending, func(p command) bool {
		return p.Task == cmd.Task && (p.Op == cmd.Op || p.startsTask() && !cmd.startsTask())
	})
	l.pending = append(l.pending, cmd)
}

// dequeue removes and returns the queued commands. Expired ones are not returned; they become refusals.
func (l *link) dequeue(now time.Time) []worker.Command {
	l.sent = l.sent[:0]
	var out []worker.Command
	for _, cmd := range l.pending {
		if cmd.expired(now) {
			l.refusals = append(l.refusals, message.TaskRefusal{Task: cmd.Task, Op: message.TaskOp(cmd.Op)})
			continue
		}
		if cmd.Op == worker.OpHold {
			l.addLiveTask(cmd.Task)
		}
		l.sent = append(l.sent, cmd)
		out = append(out, cmd.Command)
	}
	l.pending = nil
	return out
}

// requeue queues the commands of a failed exchange again, before those that were queued since. All commands are
// idempotent, so that they may be sent again after an exchange whose answer was lost.
func (l *link) requeue() {
	later := l.pending
	l.pending = slices.Clone(l.sent)
	for _, cmd := range later {
		l.enqueue(cmd)
	}
}

// startExchange starts an exchange with a worker unless one is in progress.
func (s *Service) startExchange(c *kernel.Context, id model.WorkerID, l *link) {
	if l.inFlight || s.epoch.IsZero() {
		return
	}
	if l.cancelTimer != nil {
		l.cancelTimer()
	}
	now := time.Now()
	x := worker.Exchange{
		Holder: s.vm, Epoch: s.epoch, Domain: s.domain, SeenReport: l.lastDelivered, Commands: l.dequeue(now),
	}
	if !l.lost { // The scheduler relies on the expiry of a lost worker's lease.
		l.lastRenewed = now
		if l.renew || s.renewAllEpoch == s.epoch {
			x.LeaseMS = gang.WorkerLeaseDuration.Milliseconds()
		}
	}
	l.firstRenewalDue, l.firstRenewalInFlight = false, l.firstRenewalDue
	if len(l.refusals) > 0 {
		s.sendReport(c, message.WorkerReport{Worker: id, Epoch: s.epoch}, l)
	}
	l.inFlight, l.startedAt = true, now
	l.exchanges <- x
}

func (s *Service) finishExchange(c *kernel.Context, m exchangeDone) {
	l := m.link
	l.inFlight = false
	if s.links[m.worker] != l {
		return
	}
	if m.epoch != s.epoch {
		s.startExchange(c, m.worker, l)
		return
	}
	next := exchangeInterval
	switch {
	case m.err != nil:
		s.metrics.CountRetry(failure.RetryWorkerUnreachable)
		if l.failingSince.IsZero() {
			l.failingSince = l.startedAt
		}
		l.requeue()
		s.checkLost(c, m.worker, l)
		next = exchangeRetryDelay
	case !m.report.Accepted:
		klog.InfoS("worker refused the epoch", "worker", m.worker, "epoch", m.epoch, "accepted", m.report.Epoch)
		_ = c.Send(names.Authority, message.EpochRefused{Worker: m.worker, Epoch: m.report.Epoch})
	default:
		next = s.handleReport(c, m, l)
	}
	if m.err == nil && (len(l.pending) > 0 || l.firstRenewalDue) {
		s.startExchange(c, m.worker, l)
		return
	}
	l.cancelTimer = c.SendAfter(next, exchangeDue{worker: m.worker, link: l})
}

// handleReport delivers the report of an exchange to the scheduler and returns the delay until the next exchange.
func (s *Service) handleReport(c *kernel.Context, m exchangeDone, l *link) time.Duration {
	next := exchangeInterval
	l.updateLiveTasks(m.report)
	switch {
	case len(l.sent) > 0:
		next = followUpDelay
	case l.lastDelivered == 0 || l.firstRenewalInFlight:
		next -= l.phase
	case len(l.liveTasks) == 0 && s.renewAllEpoch == s.epoch:
		next = idleExchangeInterval
		if !l.idle { // So far, the exchanges of all workers were spread over exchangeInterval only.
			next -= l.phase
		}
	}
	l.idle = next > exchangeInterval
	l.lost, l.lossReported, l.lastHeard, l.failingSince = false, false, time.Now(), time.Time{}
	for _, r := range m.report.Refusals {
		l.refusals = append(l.refusals, message.TaskRefusal{Task: r.Task, Op: message.TaskOp(r.Op)})
	}
	out := message.WorkerReport{Worker: m.worker, Epoch: m.epoch, Full: m.report.Full, Tasks: m.report.Tasks}
	if (m.report.Full || len(out.Tasks)+len(l.refusals) > 0) && !s.sendReport(c, out, l) {
		return next // The worker sends the same changes again, because lastDelivered does not advance.
	}
	l.lastDelivered = m.report.Number
	return next
}

func (s *Service) sendReport(c *kernel.Context, out message.WorkerReport, l *link) bool {
	out.Refusals = l.refusals
	if !s.sendToScheduler(c, out) {
		return false
	}
	l.refusals = nil
	return true
}

// checkLost declares a worker lost if it has not answered for long enough. The queued commands are dropped: the tasks
// of the worker end when their lease expires, and the scheduler stops those that a later full report still lists.
func (s *Service) checkLost(c *kernel.Context, id model.WorkerID, l *link) {
	if time.Since(l.lastHeard) < lostTimeout || time.Since(l.failingSince) < minFailingTime {
		return
	}
	if !l.lost {
		klog.InfoS("worker lost", "worker", id, "silent", time.Since(l.lastHeard).String())
		l.lost, l.pending, l.refusals, l.lastDelivered, l.liveTasks = true, nil, nil, 0, nil
		l.renew, l.firstRenewalDue = false, false
	}
	s.reportLoss(c, id, l)
}

func (s *Service) reportLoss(c *kernel.Context, id model.WorkerID, l *link) {
	if l.lossReported || s.epoch.IsZero() {
		return
	}
	ends := l.lastRenewed.Add(gang.WorkerLeaseDuration + exchangeTimeout)
	l.lossReported = s.sendToScheduler(c, message.WorkerLost{Worker: id, Epoch: s.epoch, LeaseEnds: ends})
}
