// Package holder is the service that takes part in the leader election of the fleet. The elected VM is the holder: its
// service runs the scheduler, feeds it with events, carries out its actions and records the progress of jobs.
package holder

import (
	"cmp"
	"context"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/boottime"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/backlog"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// Settings configures the service.
type Settings struct {
	VM string
	// Address is the address at which other VMs reach this one.
	Address string
	// Peers lists addresses of other VMs, some of which may be stale.
	Peers []string
	// Weight is the VM's share of a processor; VMs with a small share stand for election later.
	Weight float64
	Fleet  fleet.Settings
	// BacklogLimit is the memory in bytes that accepted jobs may take; 0 means backlog.DefaultLimit.
	BacklogLimit int64
	// CheckpointMemory bounds the memory in bytes that the large checkpoints in the reports of all executors take together; 0 means
	// no bound besides that of a report.
	CheckpointMemory int64
	// TombstoneRetention is how long tombstones of cancelled jobs are kept; 0 means defaultTombstoneRetention.
	TombstoneRetention time.Duration
	// RunTimesInterval is the shortest time between two saves of learned run times; 0 means defaultRunTimesInterval.
	RunTimesInterval time.Duration
	// Clock measures the age of the lease; nil means boottime.Now.
	Clock boottime.Clock
}

// Service owns the election and, while this VM holds the fleet, the scheduler.
type Service struct {
	settings Settings
	store    *metastore.Client
	runner   *runner.Client
	// advisor is nil where the platform has no advisory service.
	advisor  *advisor.Client
	metrics  *metrics.Set
	election election
	term     *term
	catalog  message.CatalogChanged
	// configured is set once the catalog has published a configuration.
	configured bool
	draining   bool
	// cancelWatch ends the watch of the entries of the holder and the term.
	cancelWatch context.CancelFunc
	// now is the clock of the lease.
	now boottime.Clock
}

// New returns the service.
func New(s Settings, store *metastore.Client, r *runner.Client, a *advisor.Client, m *metrics.Set) *Service {
	if s.Clock == nil {
		s.Clock = boottime.Now
	}
	s.BacklogLimit = cmp.Or(s.BacklogLimit, backlog.DefaultLimit)
	s.RunTimesInterval = cmp.Or(s.RunTimesInterval, defaultRunTimesInterval)
	s.TombstoneRetention = cmp.Or(s.TombstoneRetention, defaultTombstoneRetention)
	return &Service{
		settings: s, store: store, runner: r, advisor: a, metrics: m,
		election: election{incarnation: uuid.NewString()},
		now:      s.Clock,
		catalog:  message.CatalogChanged{Config: (&workload.Config{}).Index()},
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Holder, Service: s, DependsOn: []kernel.Name{names.Relay}, MailboxSize: mailboxSize,
		Subscriptions: []string{message.KindCatalogChanged, message.KindDrainStarted, message.KindSettingsChanged},
		DrainTimeout:  drainTimeout,
	}
}

const (
	// mailboxSize is large enough for a burst of submissions and state queries from all VMs.
	mailboxSize = 4096
	// drainTimeout bounds the release of the fleet during a shutdown.
	drainTimeout = 1500 * time.Millisecond
)

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	s.watchHolder(c)
	return nil
}

// watchHolder watches the entries of the holder and the term. It ends an earlier watch.
func (s *Service) watchHolder(c *kernel.Context) {
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
	watch, cancel := context.WithCancel(context.Background())
	s.cancelWatch = cancel
	post := c.TaskSender()
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(watch, cancel)()
		s.store.ListAndWatch(ctx, records.HolderPrefix, 0, func(u metastore.Update) bool { return post(holderUpdate{u}) })
		return nil
	})
}

// abstention is how long a VM does not stand for election after a panic, so that another VM takes over. If the same
// records cause a panic there, too, the VMs take turns at this pace.
const abstention = 5 * time.Second

// Recover implements kernel.Recoverer. It ends the term, whose state may be inconsistent, and hands the fleet over: the
// next holder builds its state from the store and from reports of the executors, and adopts what runs.
func (s *Service) Recover(c *kernel.Context, _ *kernel.PanicError) bool {
	s.election.abstainUntil = time.Now().Add(abstention)
	s.release(c)
	if s.draining && !s.election.releasing {
		c.CompleteDrain()
	}
	s.election.loaded = false
	s.watchHolder(c)
	return true
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	s.release(c)
	if s.term == nil && !s.election.releasing {
		c.CompleteDrain()
	}
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.CatalogChanged:
		s.catalog, s.configured = m, true
		if t := s.term; t != nil {
			t.configured = true
			t.fleet.SetConfig(m.Config)
			t.fleet.SetExcludedDomains(m.Out)
			s.requestPlan(c)
		}
	case message.SettingsChanged:
		s.settings.Peers = m.Peers
	case message.ResignHolder:
		s.handleResign(c, m, e)
	case message.DrainStarted:
		s.draining = true
		s.release(c)
	case message.JobStored, message.JobCancelled, message.StateQuery, message.WaitingQuery, message.EvacuateExecutors, message.PermitQuery:
		s.handleQuery(c, e)
	default:
		if !s.handleElection(c, m) {
			s.handleTermMessage(c, m)
		}
	}
}

// handleQuery answers other services. It refuses their messages until a term is loaded; front ends then read the store.
func (s *Service) handleQuery(c *kernel.Context, e kernel.Envelope) {
	t := s.term
	if t == nil || !t.loaded() {
		e.Fail(notHolder())
		return
	}
	now := time.Now()
	switch m := e.Body.(type) {
	case message.JobStored:
		if _, known := t.fleet.Status(m.Job.ID); !known && t.queue.includes(m.Revision) {
			// The list or the watch of the queue has shown the job if its entry was usable, so that an unknown one was removed.
			s.metrics.CountEvent("job_notices_late", 1)
		} else {
			t.addJob(now, s, &m.Job, m.Revision)
		}
		e.Reply(message.Done{})
		s.requestPlan(c)
	case message.JobCancelled:
		if t.fleet.Cancel(now, m.ID) {
			s.log("job cancelled", "job", m.ID, "source", "call")
		}
		e.Reply(message.Done{})
		s.requestPlan(c)
	case message.StateQuery:
		state, _ := t.fleet.Status(m.ID)
		e.Reply(message.StateReply{State: state, Owner: t.fleet.JobOwner(m.ID)})
	case message.EvacuateExecutors:
		t.fleet.SetEvacuating(m.Executors)
		e.Reply(message.VacatedExecutors{Executors: t.fleet.VacatedExecutors()})
		s.requestPlan(c)
	case message.PermitQuery:
		s.handlePermitQuery(m, e)
	case message.WaitingQuery:
		e.Reply(message.WaitingReply{Waiting: t.fleet.WaitingJobs(m.Queue)})
	}
}

func (s *Service) log(msg string, keysAndValues ...any) {
	klog.InfoS(msg, append([]any{"vm", s.settings.VM, "service", names.Holder}, keysAndValues...)...)
}
