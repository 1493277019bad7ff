package holder

import (
	"cmp"
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/expiry"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

const (
	// queueWatchPause is the pause between two calls of the watch of jobs and cancellations. It seldom delays a start,
	// because front ends also notify the holder directly.
	queueWatchPause = 200 * time.Millisecond
	// registryWatchPause is the pause between two calls of the watch of executors, whose heartbeats change their entries
	// all the time. It is short compared with the seconds within which a leaving executor must get no more work.
	registryWatchPause = 200 * time.Millisecond
	// recordsRetryDelay is the delay before the records are read again after a failure. The store counts refused calls, too.
	recordsRetryDelay = 100 * time.Millisecond
	// firstConfigWait bounds the wait of a new term for the configuration, which the catalog reads from the store at its
	// start. Without a bound, accepted jobs would not run while the store holds no usable configuration.
	firstConfigWait = 2 * time.Second
)

// term is the state of this VM while it is the holder.
type term struct {
	number int64
	// fence is the fencing token: the store revision of this VM's holder entry.
	fence int64
	// leaseConfirmedAt is the reading of the service's clock at which the last confirmed renewal of the lease was sent.
	leaseConfirmedAt time.Duration
	// permitUntil is the reading of the service's clock until which another service may send an order.
	permitUntil time.Duration
	// ctx ends with the term, and with it the tasks of the term.
	ctx    context.Context
	cancel context.CancelFunc
	// startsCtx ends with the term or while the holder hands over, and with it the permission to send planned starts.
	startsCtx    context.Context
	cancelStarts context.CancelFunc
	// handover is not nil while the holder tries to hand over. renewFailures counts the renewals that have failed since the
	// last success.
	handover      *handover
	renewFailures int
	fleet         *fleet.Scheduler

	// progress is the recorded progress of jobs that are not yet added to the scheduler; nil until it is read.
	progress map[workload.JobID]*workload.Progress
	// registryListed is set once the first list of the registry has been applied. pendingUpdates holds the queue updates
	// that arrived before progress was read.
	registryListed bool
	queue          queuePosition
	// configured is set once the operators' configuration is known, or after firstConfigWait.
	configured     bool
	pendingUpdates []metastore.Update
	startedAt      time.Time
	loadLogged     bool

	// saveRevision is the revision of SaveKey after the last save.
	saveRevision int64
	saveInFlight bool
	nextSaveAt   time.Time
	runTimes     runTimes
	// rejections finds the entries that the store refuses for good.
	rejections rejections
	// savedRosterVersion is the version of the roster that was last saved.
	savedRosterVersion int64
	// backlogInFlight is set while the entry of the backlog is written, nextBacklogAt is when it may be written again.
	backlogInFlight bool
	nextBacklogAt   time.Time

	// lastPlanAt is the time of the last planning pass, planAt that of the next one if planScheduled is set.
	lastPlanAt    time.Time
	planAt        time.Time
	planScheduled bool
	cancelPlan    func()
	nextExpiryAt  time.Time
	runLog        runLog
	loggedEnds    map[workload.ExecutorID]loggedEnds
	// oversized holds the executors whose last report had checkpoints that were too large to be kept.
	oversized map[workload.ExecutorID]bool
	// tombstones holds the tombstones of cancelled jobs that were not stored.
	tombstones expiry.Set
	// refusedEntries holds the registry entries that are ignored now and why.
	refusedEntries map[string]runner.EntryProblem
	// summaryCounts holds the scheduler's counts since the last summary.
	summaryCounts map[fleet.Counter]int64
	lastSummaryAt time.Time
}

// termScoped is embedded in the messages of one term. They come from the tasks and timers of the term, which may
// outlive it.
type termScoped struct{ term int64 }

func (t termScoped) termNumber() int64 { return t.term }

type (
	recordsLoaded struct {
		termScoped
		progress map[workload.JobID]*workload.Progress
		// unreadable holds the errors of entries that were ignored.
		unreadable []error
		roster     workload.Roster
		// saveRevision is the revision of SaveKey; 0 if there is none.
		saveRevision int64
		err          error
	}
	recordsDue  struct{ termScoped }
	queueUpdate struct {
		termScoped
		metastore.Update
	}
	registryUpdate struct {
		termScoped
		metastore.Update
	}
	configWaitOver struct{ termScoped }
)

// Kind implements kernel.Message.
func (configWaitOver) Kind() string { return "holder_config_wait_over" }

// Kind implements kernel.Message.
func (recordsLoaded) Kind() string { return "holder_progress_read" }

// Kind implements kernel.Message.
func (recordsDue) Kind() string { return "holder_records_due" }

// Kind implements kernel.Message.
func (queueUpdate) Kind() string { return "holder_queue_followed" }

// Kind implements kernel.Message.
func (registryUpdate) Kind() string { return "holder_servers_followed" }

// loaded reports whether the records of earlier holders, the accepted jobs, the registered executors and the
// configuration have been read. Without the configuration, the limits and rates of accounts are not known.
func (t *term) loaded() bool {
	return t.progress != nil && t.queue.listed && t.registryListed && t.configured
}

// beginTerm creates the scheduler of a new term, and starts to read the records and to watch jobs and executors.
func (s *Service) beginTerm(c *kernel.Context, number, fence int64, hasPredecessor bool) {
	if s.term != nil {
		s.endTerm("a new term begins")
	}
	now := time.Now()
	t := &term{
		number: number, fence: fence, startedAt: now, lastSummaryAt: now, summaryCounts: map[fleet.Counter]int64{}, refusedEntries: map[string]runner.EntryProblem{},
		loggedEnds: map[workload.ExecutorID]loggedEnds{}, oversized: map[workload.ExecutorID]bool{}, configured: s.configured,
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.resumeStarts()
	t.fleet = fleet.New(s.settings.Fleet, number, fence, hasPredecessor, now)
	t.fleet.SetConfig(s.catalog.Config)
	t.fleet.SetExcludedDomains(s.catalog.Out)
	s.term = t
	s.metrics.CountEvent("terms_begun", 1)
	s.loadRecords(c, t)
	s.loadRunTimes(c, t)
	if !t.configured {
		c.SendAfter(firstConfigWait, configWaitOver{termScoped{number}})
	}
	post := c.TaskSender()
	s.watch(c, t, records.QueuePrefix, queueWatchPause, func(u metastore.Update) bool { return post(queueUpdate{termScoped{number}, u}) })
	s.watch(c, t, runner.RegistryPrefix, registryWatchPause, func(u metastore.Update) bool { return post(registryUpdate{termScoped{number}, u}) })
}

func (s *Service) watch(c *kernel.Context, t *term, prefix string, pause time.Duration, deliver func(metastore.Update) bool) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.ctx, cancel)()
		s.store.ListAndWatch(ctx, prefix, pause, deliver)
		return nil
	})
}

func (s *Service) loadRecords(c *kernel.Context, t *term) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := recordsLoaded{termScoped: termScoped{t.number}, progress: map[workload.JobID]*workload.Progress{}}
		var (
			wg                              conc.WaitGroup
			rosters, saves                  []metastore.Item
			errProgress, errRoster, errSave error
		)
		// The reads run concurrently, because with a slow store sequential calls would delay the first start after a change
		// of holders. This is safe: no other VM writes these entries while this VM holds the fleet.
		wg.Go(func() { _, errProgress = s.store.ListPages(ctx, records.ProgressPrefix, out.addProgress) })
		wg.Go(func() { rosters, _, errRoster = s.store.List(ctx, records.RosterKey) })
		wg.Go(func() { saves, _, errSave = s.store.List(ctx, records.SaveKey) })
		wg.Wait()
		out.err = cmp.Or(errProgress, errRoster, errSave)
		for i := range saves {
			out.saveRevision = saves[i].Revision
		}
		for i := range rosters {
			var err error
			out.roster, err = records.Decode[workload.Roster](rosters[i].Key, rosters[i].Value)
			out.err = cmp.Or(out.err, err)
		}
		return out
	})
}

// addProgress decodes a page of progress. The decoded form of a job with many occurrences is far smaller than the encoded one.
func (m *recordsLoaded) addProgress(page []metastore.Item) {
	for i := range page {
		p, err := records.Decode[workload.Progress](page[i].Key, page[i].Value)
		if err != nil {
			m.unreadable = append(m.unreadable, err)
			continue
		}
		m.progress[records.ParseProgressKey(page[i].Key)] = &p
	}
}

func (s *Service) endTerm(reason string, keysAndValues ...any) {
	t := s.term
	t.cancel()
	s.flushRunLog(time.Now(), true)
	s.removeTermGauges(t)
	s.term = nil
	s.log("holder term ended", append([]any{"reason", reason, "term_ended", t.number}, keysAndValues...)...)
	s.metrics.CountEvent("terms_ended", 1)
}

// handleTermMessage handles a message of the current term and drops messages of other terms.
func (s *Service) handleTermMessage(c *kernel.Context, m kernel.Message) {
	if scoped, ok := m.(interface{ termNumber() int64 }); !ok || s.term == nil || scoped.termNumber() != s.term.number {
		return
	}
	switch m := m.(type) {
	case recordsDue:
		s.loadRecords(c, s.term)
	case recordsLoaded:
		s.handleRecordsLoaded(c, m)
	case configWaitOver:
		if !s.term.configured {
			s.log("no configuration known; jobs run by the one at their acceptance", "waited_ms", firstConfigWait.Milliseconds())
			s.metrics.CountEvent("config_wait_over", 1)
			s.term.configured = true
			s.requestPlan(c)
		}
	case runTimesDue:
		s.loadRunTimes(c, s.term)
	case runTimesRead:
		s.handleRunTimesRead(c, m)
	case runTimesSaved:
		s.handleRunTimesSaved(m)
	case queueUpdate:
		s.applyQueueUpdate(c, m.Update)
	case registryUpdate:
		s.applyRegistryUpdate(c, m.Update)
	default:
		s.handleAction(c, m)
	}
}

func (s *Service) handleRecordsLoaded(c *kernel.Context, m recordsLoaded) {
	t := s.term
	if m.err != nil {
		s.log("reading the records failed; retrying", "error", m.err.Error())
		s.metrics.CountEvent("records_unread", 1)
		c.SendAfter(recordsRetryDelay, recordsDue{termScoped{t.number}})
		return
	}
	for _, err := range m.unreadable {
		s.log("unreadable progress ignored", "error", err.Error())
		s.metrics.CountEvent("records_unreadable", 1)
	}
	t.progress = m.progress
	t.saveRevision = m.saveRevision
	t.fleet.InheritRoster(time.Now(), m.roster)
	updates := t.pendingUpdates
	t.pendingUpdates = nil
	for _, u := range updates {
		s.applyQueueUpdate(c, u)
	}
	s.requestPlan(c)
}

// applyQueueUpdate applies new jobs, cancellations and tombstones from the store.
func (s *Service) applyQueueUpdate(c *kernel.Context, u metastore.Update) {
	t := s.term
	if u.Err != nil {
		s.metrics.CountEvent("queue_watch_failed", 1)
		return
	}
	if t.progress == nil {
		t.pendingUpdates = append(t.pendingUpdates, u)
		return
	}
	now := time.Now()
	// Every job is added before its cancellation, because the keys of jobs precede those of cancellations in the store.
	for i := range u.Items {
		s.applyQueueItem(now, &u.Items[i])
	}
	for i := range u.Events {
		if u.Events[i].Removed {
			t.tombstones.Remove(u.Events[i].Key)
		} else {
			s.applyQueueItem(now, &u.Events[i].Item)
		}
	}
	if u.Snapshot {
		listed := make(map[string]bool, len(u.Items))
		for i := range u.Items {
			listed[u.Items[i].Key] = true
		}
		t.tombstones.Retain(listed)
	}
	t.queue.advance(u)
	if u.Snapshot || len(u.Events) > 0 {
		s.requestPlan(c)
	}
}

func (s *Service) applyQueueItem(now time.Time, item *metastore.Item) {
	t := s.term
	if records.IsTombstoneKey(item.Key) {
		t.tombstones.Observe(now, item.Key, item.Revision)
		return
	}
	id, cancelled, ok := records.ParseQueueKey(item.Key)
	if !ok {
		return
	}
	if cancelled {
		if state, known := t.fleet.Status(id); known && !state.Final() && t.fleet.Cancel(now, id) {
			s.log("job cancelled", "job", id, "source", "store", "revision", item.Revision)
		}
		return
	}
	if !t.fleet.RemoveReplaced(id, item.Created) {
		return
	}
	if t.queue.wasRemoved(id, item.Created) {
		s.metrics.CountEvent("removed_jobs_listed", 1)
		return
	}
	job, err := records.Decode[workload.Job](item.Key, item.Value)
	if err != nil {
		s.log("unreadable job ignored", "error", err.Error())
		s.metrics.CountEvent("records_unreadable", 1)
		return
	}
	t.addJob(now, s, &job, item.Created)
}

func (t *term) addJob(now time.Time, s *Service, job *workload.Job, revision int64) {
	if !t.fleet.RemoveReplaced(job.ID, revision) {
		return
	}
	if err := job.Validate(); err != nil {
		s.log("unusable job ignored", "error", err.Error(), "revision", revision)
		s.metrics.CountEvent("records_unreadable", 1)
		return
	}
	t.fleet.AddJob(now, job, revision, t.progress[job.ID])
	delete(t.progress, job.ID)
	s.log("job added to the scheduler", "job", job.ID, "queue", job.Queue, "account", job.Account, "steps", len(job.Steps), "revision", revision)
}
