// Package scheduler is the service that schedules the jobs of one failure domain while its VM holds the authority over
// that domain.
//
// Durability. A job is recorded twice before its submission is answered: first as submitted, then as confirmed.
// A submission whose first record fails is refused as not run. That stays true if the record becomes durable later,
// because no holder runs a job without a confirmed record.
//
// Failure domain out of service. No task starts from then on, and starts in progress are aborted. Running jobs continue
// for a grace period, so that no work is lost if the domain returns to service soon. Then preemptible jobs and later
// all others are checkpointed and stopped. They wait in the queue until the failure domain is back in service or they
// are transferred.
//
// Transfers. Queued jobs that name no failure domain can be transferred to other domains. Such a job is in the state
// transferring, and does not start, from before the log holds the transfer until it holds the decision of the target.
// A holder that could not read the whole log neither begins transfers nor decides on those of other domains.
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
	// drainTimeout bounds the drain, because an append does not complete while the store is unavailable.
	drainTimeout = 3 * time.Second
	// drainReplyTimeout is the time after the start of the drain at which callers that wait for the store get an error.
	// It ends before drainTimeout, because callers that still wait when the service ends get an internal error.
	drainReplyTimeout = 2500 * time.Millisecond
)

// drainReplyDue is the timer of drainReplyTimeout.
type drainReplyDue struct{}

// Kind implements kernel.Message.
func (drainReplyDue) Kind() string { return "scheduler_drain_due" }

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

// workerState is what the service knows about a worker.
type workerState struct {
	rack string
	// cores and memoryMB are the totals of the worker; 0 means unknown.
	cores, memoryMB int
	// reported is true once a full report has arrived in this epoch, until the worker is lost.
	reported bool
	lost     bool
	// leaseExpiry is the time by which the lease of a lost worker has expired.
	leaseExpiry time.Time
}

// Service queues jobs, starts their gangs and tracks their tasks.
type Service struct {
	domain     model.FailureDomain
	metrics    *metrics.Set
	newPlanner func() planner

	// The configuration and the list of workers are kept across epochs.
	config       message.ConfigChanged
	workers      map[model.WorkerID]*workerState
	workerOrder  []model.WorkerID
	workersKnown bool

	// earlyMessages holds messages of an epoch that arrived before its AuthorityChanged.
	earlyMessages []kernel.Message
	epoch         model.Epoch
	recovery      *recoveryState

	// The fields below are reset when the epoch changes.
	jobs            map[model.JobID]*job
	jobsByKey       map[accountKey]model.JobID
	queuedByAccount map[model.AccountID]int
	endedJobs       []model.JobID
	movedJobs       []model.JobID
	jobsByWorker    map[model.WorkerID]map[model.JobID]bool
	planner         planner
	tracker         *quarantine.Tracker
	journal         journal
	pendingCommands map[model.WorkerID][]message.TaskCommand
	// leaseChanges holds the workers whose lease renewal starts (true) or ends (false) and for which the workers service
	// has not received the change yet. renewsAllLeases is true once that service has received the request to renew the
	// leases of all workers.
	leaseChanges    map[model.WorkerID]bool
	renewsAllLeases bool
	// hasReservation holds the queued jobs for which the last round preempts or migrates running jobs and reserves their
	// accelerators.
	hasReservation map[model.JobID]bool
	// reportedShortfall is the number of guaranteed cells by level that could not be packed at the last report.
	reportedShortfall []model.CellCount
	// reportedQuarantine lists the workers that were in quarantine at the last report.
	reportedQuarantine []model.WorkerID
	domainOutSince     time.Time
	transfers          transfers
	// publishedLoad is the last published load of this failure domain; domainLoads holds those of all failure domains.
	publishedLoad model.DomainLoad
	domainLoads   []model.DomainLoad

	draining       bool
	workersChanged bool
	roundPending   bool
	resendPending  bool
	nextProbeAt    time.Time
	// cancelRoundTimer cancels the timer of the next periodic round.
	cancelRoundTimer func()
}

// New returns the scheduler service of one failure domain.
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
		// The scheduler must append its last records before the drain of authority appends the closing record.
		DependsOn: []kernel.Name{names.Workers, names.Store, names.Authority}, DrainTimeout: drainTimeout,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain stops starting tasks. It completes once all changes are in the log or the log no longer accepts them.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	c.SendAfter(drainReplyTimeout, drainReplyDue{})
	s.finishEvent(c)
}

// abortDrain fails the callers that wait for an append and completes the drain without it.
func (s *Service) abortDrain(c *kernel.Context) {
	s.failWaiters(failure.New(failure.StoreUnavailable, "the VM shut down before the store answered"))
	c.CompleteDrain()
}

// nothingToDrain reports whether no change or command is left that the drain must wait for.
func (s *Service) nothingToDrain() bool {
	return s.epoch.IsZero() || s.recovery != nil || s.journal.fenced ||
		!s.journal.inFlight && len(s.journal.dirty) == 0 && len(s.pendingCommands) == 0
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
		s.handleReplay(c, m)
	case message.WorkerReport:
		s.handleReport(c, m)
	case message.WorkerLost:
		s.handleWorkerLost(c, m)
	case message.SnapshotGet:
		s.replySnapshot(e, m)
	case message.LoadsChanged:
		s.domainLoads = slices.Clone(m.Loads) // The slice is shared with the other subscribers.
	case drainReplyDue:
		s.abortDrain(c)
	default:
		if !s.handleTimer(c, m) {
			s.handleCall(c, e)
		}
	}
	s.finishEvent(c)
}

// finishEvent sends the output of an event: at most one message per worker and one append.
func (s *Service) finishEvent(c *kernel.Context) {
	s.sendCommands(c)
	s.appendChanges(c)
	if s.draining && s.nothingToDrain() {
		c.CompleteDrain()
	}
}

// setAuthority drops the state of the previous epoch and begins the recovery of the new one.
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
	s.failTransferRequests(lost)
	s.epoch = epoch
	s.reset()
	earlyMessages := s.earlyMessages
	s.earlyMessages = nil
	if epoch.IsZero() {
		s.reportGauges() // The gauges become zero; the next holder reports the jobs.
		return
	}
	s.recovery = newRecoveryState()
	c.SendAfter(loadInterval, loadDue{epoch: epoch})
	c.SendAfter(partialGangGrace, partialGangsDue{epoch})
	s.planner.SetPolicy(s.config.Config.ActivePreset())
	for _, m := range earlyMessages {
		s.Handle(c, kernel.Envelope{From: c.Name(), Body: m})
	}
	s.tryFinishRecovery(c)
}

// reset drops all state that belongs to an epoch.
func (s *Service) reset() {
	s.recovery = nil
	s.jobs = make(map[model.JobID]*job)
	s.jobsByKey = make(map[accountKey]model.JobID)
	s.queuedByAccount = make(map[model.AccountID]int)
	s.endedJobs, s.movedJobs = nil, nil
	s.jobsByWorker = make(map[model.WorkerID]map[model.JobID]bool)
	s.planner = s.newPlanner()
	s.tracker, s.reportedQuarantine = quarantine.New(), nil
	s.journal = journal{}
	s.pendingCommands = make(map[model.WorkerID][]message.TaskCommand)
	s.leaseChanges, s.renewsAllLeases = nil, false
	s.hasReservation = make(map[model.JobID]bool)
	s.transfers = newTransfers(s.domain)
	s.publishedLoad = model.DomainLoad{}
	s.domainOutSince, s.nextProbeAt = time.Time{}, time.Time{}
	s.workersChanged = true
	for _, w := range s.workers {
		w.reported, w.lost = false, false
	}
}

// isOtherEpoch reports whether a message belongs to another epoch and must not be applied now. A message of a later
// epoch is kept until AuthorityChanged announces that epoch, because the two come from different services in any order.
func (s *Service) isOtherEpoch(epoch model.Epoch, m kernel.Message) bool {
	if s.epoch.Less(epoch) {
		s.earlyMessages = append(s.earlyMessages, m)
	}
	return epoch != s.epoch || s.epoch.IsZero()
}

// setConfig applies the configuration in force and the time at which it was last confirmed.
func (s *Service) setConfig(c *kernel.Context, m message.ConfigChanged) {
	changed := m.Config.Version != s.config.Config.Version
	s.config = m
	if s.epoch.IsZero() {
		return
	}
	if changed {
		s.planner.SetPolicy(m.Config.ActivePreset())
	}
	s.updateDomainOut(c)
	s.requestRound(c)
}

func (s *Service) setWorkers(c *kernel.Context, vms []model.VM) {
	s.workerOrder, s.workersKnown = s.workerOrder[:0], true
	known := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		known[id] = true
		s.workerOrder = append(s.workerOrder, id)
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
	s.tryFinishRecovery(c)
	s.requestRound(c)
}
