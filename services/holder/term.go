package holder

import (
	"cmp"
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

const (
	// queuePause is the pause of the watch of jobs, which front ends tell the holder of as well.
	queuePause = 200 * time.Millisecond
	// registryPause is the pause of the watch of executors, whose heartbeats change their entries all the time. It is short
	// against the seconds in which a leaving executor must get no more work.
	registryPause = 200 * time.Millisecond
)

// term is the state of this VM as the holder.
type term struct {
	number int64
	// fence is the revision of the own holder entry.
	fence  int64
	cancel context.CancelFunc
	ctx    context.Context
	fleet  *fleet.Scheduler

	// progress is what earlier holders have recorded; nil until it is read.
	progress map[workload.JobID]*workload.Progress
	// queuesRead and serversRead are set once the first list of each was applied; early holds what came before
	// progress was read.
	queuesRead, serversRead bool
	early                   []metastore.Update
	begunAt                 time.Time
	logged                  bool

	// saveRevision is the revision of SaveKey after the last record.
	saveRevision int64
	saving       bool
	saveAfter    time.Time
	// rosterSaved is the version of the recorded roster.
	rosterSaved int64

	// plannedAt is the time of the last plan, planAt that of the next one if planSet.
	plannedAt  time.Time
	planAt     time.Time
	planSet    bool
	planCancel func()
	expireAt   time.Time
	log        actionLog
	// sums counts what has happened since the last summary.
	sums      map[fleet.Count]int64
	summaryAt time.Time
}

// inTerm is part of the messages that concern one term: they come from its tasks and timers, which may outlive it.
type inTerm struct{ term int64 }

func (t inTerm) termNumber() int64 { return t.term }

type (
	progressRead struct {
		inTerm
		items  []metastore.Item
		roster workload.Roster
		// saved is the revision of SaveKey; 0 if there is none.
		saved int64
		err   error
	}
	queueFollowed struct {
		inTerm
		metastore.Update
	}
	serversFollowed struct {
		inTerm
		metastore.Update
	}
)

// Kind implements kernel.Message.
func (progressRead) Kind() string { return "holder_progress_read" }

// Kind implements kernel.Message.
func (queueFollowed) Kind() string { return "holder_queue_followed" }

// Kind implements kernel.Message.
func (serversFollowed) Kind() string { return "holder_servers_followed" }

// loaded reports whether all that earlier holders and the callers have recorded is known.
func (t *term) loaded() bool { return t.progress != nil && t.queuesRead && t.serversRead }

// beginTerm starts to read the records and to follow jobs and executors.
func (s *Service) beginTerm(c *kernel.Context, number, fence int64, inherited bool) {
	if s.term != nil {
		s.endTerm("a new term begins")
	}
	now := time.Now()
	t := &term{number: number, fence: fence, begunAt: now, summaryAt: now, sums: map[fleet.Count]int64{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.fleet = fleet.New(s.settings.Fleet, number, fence, inherited, now)
	t.fleet.SetConfig(s.catalog.Config)
	t.fleet.SetOut(s.catalog.Out)
	s.term = t
	s.metrics.Event("terms_begun", 1)
	s.readProgress(c, t)
	post := c.Post()
	s.follow(c, t, records.QueuePrefix, queuePause, func(u metastore.Update) bool { return post(queueFollowed{inTerm{number}, u}) })
	s.follow(c, t, runner.RegistryPrefix, registryPause, func(u metastore.Update) bool { return post(serversFollowed{inTerm{number}, u}) })
}

func (s *Service) follow(c *kernel.Context, t *term, prefix string, pause time.Duration, deliver func(metastore.Update) bool) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.ctx, cancel)()
		s.store.Follow(ctx, prefix, pause, deliver)
		return nil
	})
}

func (s *Service) readProgress(c *kernel.Context, t *term) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := progressRead{inTerm: inTerm{t.number}}
		var (
			wg                              conc.WaitGroup
			rosters, saves                  []metastore.Item
			errProgress, errRoster, errSave error
		)
		// Nothing else writes these entries while this VM holds the fleet, so that they can be read at the same time. With
		// a slow store each call in turn would delay the first start after a change of holders.
		wg.Go(func() { out.items, _, errProgress = s.store.List(ctx, records.ProgressPrefix) })
		wg.Go(func() { rosters, _, errRoster = s.store.List(ctx, records.RosterKey) })
		wg.Go(func() { saves, _, errSave = s.store.List(ctx, records.SaveKey) })
		wg.Wait()
		out.err = cmp.Or(errProgress, errRoster, errSave)
		for i := range saves {
			out.saved = saves[i].Revision
		}
		for i := range rosters {
			var err error
			out.roster, err = records.Decode[workload.Roster](rosters[i].Key, rosters[i].Value)
			out.err = cmp.Or(out.err, err)
		}
		return out
	})
}

func (s *Service) endTerm(reason string, keysAndValues ...any) {
	t := s.term
	t.cancel()
	s.term = nil
	s.log("fleet given up", append([]any{"reason", reason, "term_ended", t.number}, keysAndValues...)...)
	s.metrics.Event("terms_ended", 1)
}

// handleTerm handles a message of the present term and drops those of others.
func (s *Service) handleTerm(c *kernel.Context, m kernel.Message) {
	if of, ok := m.(interface{ termNumber() int64 }); !ok || s.term == nil || of.termNumber() != s.term.number {
		return
	}
	switch m := m.(type) {
	case progressRead:
		s.progressRead(c, m)
	case queueFollowed:
		s.queueFollowed(c, m.Update)
	case serversFollowed:
		s.serversFollowed(c, m.Update)
	default:
		s.handleAction(c, m)
	}
}

func (s *Service) progressRead(c *kernel.Context, m progressRead) {
	t := s.term
	if m.err != nil {
		s.log("records not read; trying again", "error", m.err.Error())
		s.metrics.Event("records_unread", 1)
		s.readProgress(c, t)
		return
	}
	t.progress = make(map[workload.JobID]*workload.Progress, len(m.items))
	for i := range m.items {
		p, err := records.Decode[workload.Progress](m.items[i].Key, m.items[i].Value)
		if err != nil {
			s.log("progress ignored", "error", err.Error())
			s.metrics.Event("records_unreadable", 1)
			continue
		}
		t.progress[records.ProgressJob(m.items[i].Key)] = &p
	}
	t.saveRevision = m.saved
	t.fleet.Inherit(time.Now(), m.roster)
	early := t.early
	t.early = nil
	for _, u := range early {
		s.queueFollowed(c, u)
	}
	s.plan(c)
}

// queueFollowed applies accepted jobs and cancellations.
func (s *Service) queueFollowed(c *kernel.Context, u metastore.Update) {
	t := s.term
	if u.Err != nil {
		s.metrics.Event("queue_watch_failed", 1)
		return
	}
	if t.progress == nil {
		t.early = append(t.early, u)
		return
	}
	now := time.Now()
	// Jobs come before cancellations, whose keys follow them in the order of the store.
	for i := range u.Items {
		s.queueItem(now, &u.Items[i])
	}
	for i := range u.Events {
		if !u.Events[i].Removed {
			s.queueItem(now, &u.Events[i].Item)
		}
	}
	t.queuesRead = t.queuesRead || u.Snapshot
	if u.Snapshot || len(u.Events) > 0 {
		s.plan(c)
	}
}

func (s *Service) queueItem(now time.Time, item *metastore.Item) {
	t := s.term
	id, cancelled, ok := records.Job(item.Key)
	if !ok {
		return
	}
	if cancelled {
		if state, known := t.fleet.Status(id); known && !state.Final() && t.fleet.Cancel(now, id) {
			s.log("job cancelled", "job", id, "source", "store", "revision", item.Revision)
		}
		return
	}
	if _, known := t.fleet.Status(id); known {
		return
	}
	job, err := records.Decode[workload.Job](item.Key, item.Value)
	if err != nil {
		s.log("job ignored", "error", err.Error())
		s.metrics.Event("records_unreadable", 1)
		return
	}
	t.addJob(now, s, &job, item.Created)
}

func (t *term) addJob(now time.Time, s *Service, job *workload.Job, revision int64) {
	if _, known := t.fleet.Status(job.ID); known {
		return
	}
	t.fleet.AddJob(now, job, revision, t.progress[job.ID])
	delete(t.progress, job.ID)
	s.log("job taken up", "job", job.ID, "queue", job.Queue, "account", job.Account, "steps", len(job.Steps), "revision", revision)
}

// serversFollowed applies the registry of executors.
func (s *Service) serversFollowed(c *kernel.Context, u metastore.Update) {
	t := s.term
	if u.Err != nil {
		s.metrics.Event("registry_watch_failed", 1)
		return
	}
	now := time.Now()
	if u.Snapshot {
		listed := make(map[workload.ExecutorID]bool, len(u.Items))
		for i := range u.Items {
			if s.upsertExecutor(now, &u.Items[i]) {
				listed[runner.EntryID(u.Items[i].Key)] = true
			}
		}
		t.fleet.KeepExecutors(now, listed)
		t.serversRead = true
	}
	for i := range u.Events {
		e := &u.Events[i]
		if e.Removed {
			s.log("executor left the registry", "executor", runner.EntryID(e.Key), "revision", e.Revision)
			t.fleet.RemoveExecutor(now, runner.EntryID(e.Key))
			continue
		}
		if !s.upsertExecutor(now, &e.Item) {
			t.fleet.RemoveExecutor(now, runner.EntryID(e.Key))
		}
	}
	if u.Snapshot || len(u.Events) > 0 {
		s.plan(c)
	}
}

func (s *Service) upsertExecutor(now time.Time, item *metastore.Item) bool {
	info, err := runner.DecodeEntry(item.Key, item.Value)
	if err != nil {
		s.log("registry entry ignored", "error", err.Error(), "revision", item.Revision)
		s.metrics.Event("registry_unreadable", 1)
		return false
	}
	if info.Draining {
		s.log("executor draining", "executor", info.ID, "remaining_ms", info.Remaining.Milliseconds(), "revision", item.Revision)
	}
	s.term.fleet.UpsertExecutor(now, info)
	return true
}
