// Package scheduler is the service that owns the jobs of the own failure domain while the VM holds it.
//
// Durability. A job is recorded twice before its submission is answered: as submitted and as confirmed.
// A submission whose first record fails is refused as not run, which stays true if that record becomes
// durable later, because nobody runs a job without a confirmed record.
//
// Failure domain out. No task starts from then on; starts in progress are aborted. Running jobs go on for
// a grace period, so that a short outing costs no work. Then preemptible jobs and later all others are
// checkpointed and stopped. They wait in the queue until the failure domain returns or they move.
//
// Transfers. Waiting jobs that name no failure domain move to others. A job is in the state transferring, and does
// not start, from before the log holds the transfer until it holds the decision of the target. A holder that could
// not read the whole log neither begins transfers nor decides on those of others.
package scheduler

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
	"github.com/verbenaflow/verbenaflow/decisions/quarantine"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// drainTimeout bounds the drain; an append during an outage of the store does not end.
	drainTimeout = 3 * time.Second
	// drainAnswer is the part of the drain after which callers no longer wait for the store. Without it the
	// end of the service left them with an internal failure.
	drainAnswer = 2500 * time.Millisecond
)

// drainDue ends the wait for the store during a drain.
type drainDue struct{}

// Kind implements kernel.Message.
func (drainDue) Kind() string { return "scheduler_drain_due" }

// planner is the part of plan.Planner that the service uses.
type planner interface {
	SetWorkers([]plan.Worker)
	SetPolicy(model.Preset)
	CheckAdmission(model.JobSpec) *failure.Error
	Enqueue(plan.QueuedJob)
	Adopt(plan.QueuedJob, model.Placement, time.Time)
	Finish(model.JobID, time.Time)
	Remove(...model.JobID)
	Requeue(model.JobID)
	SetProgress(model.JobID, float64)
	Round(time.Time) plan.Result
}

// workerState is what the service knows of a worker.
type workerState struct {
	rack string
	// cores and memoryMB are the totals of the worker; 0 means unknown.
	cores, memoryMB int
	// reported is true once a full report has arrived under the epoch and the worker is not lost.
	reported bool
	lost     bool
	// leaseEnds is the time by which the lease of a lost worker has lapsed.
	leaseEnds time.Time
}

// Service queues jobs, starts gangs and follows their tasks.
type Service struct {
	domain     model.FailureDomain
	metrics    *metrics.Set
	newPlanner func() planner

	// The configuration and the worker list outlive an epoch.
	config  message.ConfigChanged
	workers map[model.WorkerID]*workerState
	order   []model.WorkerID
	listed  bool

	// early holds what arrived for an epoch before its AuthorityChanged.
	early    []kernel.Message
	epoch    model.Epoch
	recovery *recovering

	// The fields below are dropped with the epoch.
	jobs     map[model.JobID]*job
	keys     map[accountKey]model.JobID
	queued   map[model.AccountID]int
	ended    []model.JobID
	moved    []model.JobID
	onWorker map[model.WorkerID]map[model.JobID]bool
	planner  planner
	tracker  *quarantine.Tracker
	log      journal
	commands map[model.WorkerID][]message.TaskCommand
	// leases holds the changes that the workers service does not know yet; leasesAll is true once it renews all.
	leases    map[model.WorkerID]bool
	leasesAll bool
	reserved  map[model.JobID]bool
	// shortfall is the last reported number of guaranteed cells that cannot be packed, by level.
	shortfall []model.CellCount
	// quarantined lists the workers that were last reported as quarantined.
	quarantined []model.WorkerID
	outSince    time.Time
	transfers   transfers
	// published is the load that was published last, loads are those of all failure domains.
	published model.DomainLoad
	loads     []model.DomainLoad

	draining       bool
	workersChanged bool
	roundPending   bool
	resendPending  bool
	probeAt        time.Time
	// cancelRound cancels the timer of the next round without an event.
	cancelRound func()
}

// New returns the service of one failure domain.
func New(d model.FailureDomain, m *metrics.Set) *Service {
	s := &Service{domain: d, metrics: m, workers: make(map[model.WorkerID]*workerState)}
	s.newPlanner = func() planner { return plan.New(d) }
	s.reset()
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Scheduler, Service: s, MailboxSize: 16384, Subscriptions: []string{
			message.KindAuthorityChanged, message.KindConfigChanged, message.KindMembersChanged, message.KindLogReplayed,
			message.KindLoadsChanged,
		},
		// The last records of the scheduler precede the closing record that the drain of authority appends.
		DependsOn: []kernel.Name{names.Workers, names.Store, names.Authority}, DrainTimeout: drainTimeout,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain starts no more tasks, and ends once all changes are in the log or the log does not accept them.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	c.SendAfter(drainAnswer, drainDue{})
	s.finishEvent(c)
}

// endDrain answers the callers that wait for an append and ends the drain without it.
func (s *Service) endDrain(c *kernel.Context) {
	s.failWaiters(failure.New(failure.StoreUnavailable, "the VM shut down before the store answered"))
	c.CompleteDrain()
}

// drained reports whether nothing is left that an append could save.
func (s *Service) drained() bool {
	return s.epoch.IsZero() || s.recovery != nil || s.log.closed ||
		!s.log.inFlight && len(s.log.order) == 0 && len(s.commands) == 0
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.setAuthority(c, m)
	case message.ConfigChanged:
		s.setConfig(c, m)
	case message.MembersChanged:
		s.setWorkers(c, m.Workers)
	case message.LogReplayed:
		s.replay(c, m)
	case message.WorkerReport:
		s.report(c, m)
	case message.WorkerLost:
		s.workerLost(c, m)
	case message.SnapshotGet:
		s.snapshot(e, m)
	case message.LoadsChanged:
		s.loads = slices.Clone(m.Loads) // Other subscribers have the same slice.
	case drainDue:
		s.endDrain(c)
	default:
		if !s.due(c, m) {
			s.call(c, e)
		}
	}
	s.finishEvent(c)
}

// finishEvent sends what the event has produced: one message per worker and one append.
func (s *Service) finishEvent(c *kernel.Context) {
	s.sendCommands(c)
	s.flush(c)
	if s.draining && s.drained() {
		c.CompleteDrain()
	}
}

// setAuthority drops all state of the earlier epoch and begins the recovery of a new one.
func (s *Service) setAuthority(c *kernel.Context, m message.AuthorityChanged) {
	epoch := model.Epoch{}
	if m.Holder {
		epoch = m.Epoch
	}
	if epoch == s.epoch {
		return
	}
	lost := failure.New(failure.NotHolder, "authority over %s was lost", s.domain)
	s.failWaiters(lost)
	s.failQuestions(lost)
	s.epoch = epoch
	s.reset()
	early := s.early
	s.early = nil
	if epoch.IsZero() {
		s.reportGauges() // The next holder counts the jobs.
		return
	}
	s.recovery = newRecovering()
	c.SendAfter(loadEvery, loadDue{epoch: epoch})
	c.SendAfter(partialGrace, partialDue{epoch})
	s.planner.SetPolicy(s.config.Config.ActivePreset())
	for _, m := range early {
		s.Handle(c, kernel.Envelope{From: c.Name(), Body: m})
	}
	s.recover(c)
}

// reset drops all state that belongs to an epoch.
func (s *Service) reset() {
	s.recovery = nil
	s.jobs = make(map[model.JobID]*job)
	s.keys = make(map[accountKey]model.JobID)
	s.queued = make(map[model.AccountID]int)
	s.ended, s.moved = nil, nil
	s.onWorker = make(map[model.WorkerID]map[model.JobID]bool)
	s.planner = s.newPlanner()
	s.tracker, s.quarantined = quarantine.New(), nil
	s.log = journal{}
	s.commands = make(map[model.WorkerID][]message.TaskCommand)
	s.leases, s.leasesAll = nil, false
	s.reserved = make(map[model.JobID]bool)
	s.transfers = newTransfers(s.domain)
	s.published = model.DomainLoad{}
	s.outSince, s.probeAt = time.Time{}, time.Time{}
	s.workersChanged = true
	for _, w := range s.workers {
		w.reported, w.lost = false, false
	}
}

// stale reports whether a message belongs to another epoch. A message of a later epoch is kept until that
// epoch's AuthorityChanged, which another service publishes, arrives.
func (s *Service) stale(epoch model.Epoch, m kernel.Message) bool {
	if s.epoch.Less(epoch) {
		s.early = append(s.early, m)
	}
	return epoch != s.epoch || s.epoch.IsZero()
}

// setConfig applies the document in force and the time of its last confirmation.
func (s *Service) setConfig(c *kernel.Context, m message.ConfigChanged) {
	changed := m.Config.Version != s.config.Config.Version
	s.config = m
	if s.epoch.IsZero() {
		return
	}
	if changed {
		s.planner.SetPolicy(m.Config.ActivePreset())
	}
	s.followDomain(c)
	s.requestRound(c)
}

func (s *Service) setWorkers(c *kernel.Context, vms []model.VM) {
	s.order, s.listed = s.order[:0], true
	known := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		known[id] = true
		s.order = append(s.order, id)
		if s.workers[id] == nil {
			s.workers[id] = &workerState{}
		}
		w := s.workers[id]
		w.rack, w.cores, w.memoryMB = vm.Rack, vm.Cores, vm.MemoryMB
	}
	for id := range s.workers {
		if !known[id] {
			delete(s.workers, id)
		}
	}
	s.workersChanged = true
	s.recover(c)
	s.requestRound(c)
}
