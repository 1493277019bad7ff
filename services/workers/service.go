// Package workers is the service that owns the connections to the workers of its failure domain.
//
// A separate kernel task owns the connection to each worker. An exchange renews the lease of all tasks of a worker,
// sends the commands for them and returns the changes of their states.
package workers

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
)

const (
	// exchangeInterval is the interval of exchanges without commands; a command starts an exchange immediately. On a busy
	// machine with exchanges back to back, each takes the holder 150 to 340 µs of CPU time. At an interval of 1 s, 172
	// workers would therefore need up to 5.8% of a core, twice the bound of 2.9%.
	exchangeInterval = 2 * time.Second
	// idleExchangeInterval is the interval of exchanges with a worker without tasks. The lease of such a worker protects
	// no task.
	idleExchangeInterval = 4 * time.Second
	// followUpDelay is the delay between an exchange with commands and the next one. It reports the effects of the
	// commands early enough for urgent work to start within 2.1 s.
	followUpDelay = 500 * time.Millisecond
	// exchangeRetryDelay is the delay after a failed exchange.
	exchangeRetryDelay = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// lostTimeout is the time without a report after which a worker counts as lost. It is shorter than
	// gang.WorkerLeaseDuration, so that the holder stops the rest of a gang before the lease of the lost part expires.
	lostTimeout = 3500 * time.Millisecond
	// minFailingTime is the minimum time from the start of the first failed exchange to the loss of a worker. Without
	// it, one failed exchange would make an idle worker lost, because its reports are further apart than lostTimeout.
	// With exchangeTimeout and exchangeRetryDelay, the loss of an idle worker is detected within idleExchangeInterval
	// plus 3 s.
	minFailingTime = lostTimeout - exchangeInterval
	// phaseCount is the number of phases over which the exchanges are spread within the interval, so that the exchanges
	// of a holder with all workers do not coincide after an election.
	phaseCount = 16
)

// Service exchanges commands and reports with the workers while the VM holds its failure domain.
type Service struct {
	vm      model.VMID
	domain  model.FailureDomain
	dial    func(address string) worker.Client
	metrics *metrics.Set
	epoch   model.Epoch
	// renewAllEpoch is the epoch under which the leases of all workers are renewed.
	renewAllEpoch model.Epoch
	links         map[model.WorkerID]*link
	openedLinks   int
}

// New returns the service of one VM. dial opens the client of a worker.
func New(vm model.VMID, d model.FailureDomain, dial func(string) worker.Client, m *metrics.Set) *Service {
	return &Service{vm: vm, domain: d, dial: dial, metrics: m, links: make(map[model.WorkerID]*link)}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Workers, Service: s, MailboxSize: 8192, Subscriptions: []string{
		message.KindAuthorityChanged, message.KindMembersChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.setEpoch(c, m)
	case message.MembersChanged:
		s.setWorkers(c, m.Workers)
	case message.WorkerCommand:
		s.queueCommands(c, m)
	case message.WorkerLeases:
		s.setLeases(c, m)
	case exchangeDue:
		if s.links[m.worker] == m.link {
			s.startExchange(c, m.worker, m.link)
		}
	case exchangeDone:
		s.finishExchange(c, m)
	}
}

func (s *Service) setEpoch(c *kernel.Context, m message.AuthorityChanged) {
	s.epoch = model.Epoch{}
	if m.Holder {
		s.epoch = m.Epoch
	}
	for id, l := range s.links {
		l.reset()
		s.startExchange(c, id, l)
	}
}

func (s *Service) setWorkers(c *kernel.Context, vms []model.VM) {
	known := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		known[id] = true
		if l, ok := s.links[id]; ok {
			if l.address == vm.Address {
				continue
			}
			s.removeLink(c, id, l)
		}
		l := s.openLink(c, id, vm.Address)
		s.links[id] = l
		s.startExchange(c, id, l)
	}
	for id, l := range s.links {
		if !known[id] {
			s.removeLink(c, id, l)
		}
	}
}

// removeLink closes the link of a worker that is no longer listed or whose address has changed. The tasks of the worker
// run until their lease expires.
func (s *Service) removeLink(c *kernel.Context, id model.WorkerID, l *link) {
	close(l.exchanges)
	delete(s.links, id)
	s.reportLoss(c, id, l)
}

// setLeases applies the scheduler's decision on which leases are renewed. A message with All may arrive before the
// service learns of the epoch.
func (s *Service) setLeases(c *kernel.Context, m message.WorkerLeases) {
	if m.All {
		s.renewAllEpoch = m.Epoch
	}
	if m.Epoch != s.epoch || s.epoch.IsZero() {
		return
	}
	for id, renew := range m.Renew {
		if l, ok := s.links[id]; ok {
			l.renew, l.firstRenewalDue = renew, renew
			if renew {
				s.startExchange(c, id, l)
			}
		}
	}
}

// queueCommands queues commands for an exchange that starts immediately, or after the one in progress. A worker without
// a link is reported as lost.
func (s *Service) queueCommands(c *kernel.Context, m message.WorkerCommand) {
	if m.Epoch != s.epoch || s.epoch.IsZero() {
		return
	}
	l, ok := s.links[m.Worker]
	if !ok {
		ends := time.Now().Add(gang.WorkerLeaseDuration + exchangeTimeout)
		s.sendToScheduler(c, message.WorkerLost{Worker: m.Worker, Epoch: s.epoch, LeaseEnds: ends})
		return
	}
	for _, cmd := range m.Commands {
		l.enqueue(command{notAfter: cmd.NotAfter, Command: worker.Command{
			Op: worker.Op(cmd.Op), Task: cmd.Task, GPUs: cmd.GPUs, RunMS: cmd.RunMS, Progress: cmd.Progress,
			Command: cmd.Command, Record: cmd.Record, HoldMS: holdDurationMS(cmd.Op),
		}})
	}
	s.startExchange(c, m.Worker, l)
}

func holdDurationMS(op message.TaskOp) int64 {
	if op != message.TaskHold {
		return 0
	}
	return gang.HoldDuration.Milliseconds()
}

// sendToScheduler sends a message to the scheduler and reports whether the mailbox accepted it.
func (s *Service) sendToScheduler(c *kernel.Context, m kernel.Message) bool {
	err := c.Send(names.Scheduler, m)
	if err != nil {
		klog.ErrorS(err, "scheduler mailbox refused a message", "kind", m.Kind())
	}
	return err == nil
}
