// Package workers is the service that owns the links to the workers of the own failure domain.
//
// One task per worker owns the connection. One exchange renews the lease of all tasks of a worker and
// carries its commands and the differences of its task states.
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
	// exchangeEvery is the interval of exchanges without commands. An exchange took the holder 150 to 340 µs
	// of CPU time back to back on a busy machine, so that 172 workers at 1 s need up to 5.8% of a core, twice
	// the bound of 2.9%. A command starts an exchange at once.
	exchangeEvery = 2 * time.Second
	// idleEvery is the interval of exchanges with a worker that has no task, whose lease protects nothing.
	idleEvery = 4 * time.Second
	// exchangeSoon is the delay after an exchange with commands, whose effects are then reported early
	// enough for urgent work to start within 2.1 s.
	exchangeSoon = 500 * time.Millisecond
	// exchangeRetry is the delay after a failed exchange.
	exchangeRetry = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// lostAfter is the silence after which a worker counts as lost. It is shorter than gang.WorkerLeaseDuration, so
	// that the holder stops the rest of a gang before the lease of the lost part expires.
	lostAfter = 3500 * time.Millisecond
	// failingFor is the least time from the start of the first failed exchange to the loss of a worker, so that an
	// idle worker, whose silence is longer, is not lost by one failure. With exchangeTimeout and exchangeRetry the
	// loss of an idle worker is noticed within idleEvery and 3 s.
	failingFor = lostAfter - exchangeEvery
	// spreadSlots distributes the exchanges over the interval, so that those of all workers of a holder do
	// not coincide after an election.
	spreadSlots = 16
)

// Service exchanges commands and reports with the workers while the VM holds its failure domain.
type Service struct {
	vm      model.VMID
	domain  model.FailureDomain
	dial    func(address string) worker.Client
	metrics *metrics.Set
	epoch   model.Epoch
	// renewAll is the epoch under which the leases of all workers are renewed.
	renewAll model.Epoch
	links    map[model.WorkerID]*link
	opened   int
}

// New returns the service; dial opens the client of a worker.
func New(vm model.VMID, d model.FailureDomain, dial func(string) worker.Client, m *metrics.Set) *Service {
	return &Service{vm: vm, domain: d, dial: dial, metrics: m, links: make(map[model.WorkerID]*link)}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Workers, Service: s, Mailbox: 8192, Subscribes: []string{
		message.KindAuthorityChanged, message.KindMembersChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.setEpoch(c, m)
	case message.MembersChanged:
		s.setWorkers(c, m.Workers)
	case message.WorkerCommand:
		s.queue(c, m)
	case message.WorkerLeases:
		s.setLeases(c, m)
	case exchangeDue:
		if s.links[m.worker] == m.link {
			s.exchange(c, m.worker, m.link)
		}
	case exchangeDone:
		s.finish(c, m)
	}
}

func (s *Service) setEpoch(c *kernel.Context, m message.AuthorityChanged) {
	s.epoch = model.Epoch{}
	if m.Holder {
		s.epoch = m.Epoch
	}
	for id, l := range s.links {
		l.reset()
		s.exchange(c, id, l)
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
			s.remove(c, id, l)
		}
		l := s.open(c, id, vm.Address)
		s.links[id] = l
		s.exchange(c, id, l)
	}
	for id, l := range s.links {
		if !known[id] {
			s.remove(c, id, l)
		}
	}
}

// remove closes the link of a worker that has left the list. Its tasks run until their lease lapses.
func (s *Service) remove(c *kernel.Context, id model.WorkerID, l *link) {
	close(l.work)
	delete(s.links, id)
	s.tellLost(c, id, l)
}

// setLeases follows the scheduler's decisions whose leases are renewed. All may arrive before the epoch.
func (s *Service) setLeases(c *kernel.Context, m message.WorkerLeases) {
	if m.All {
		s.renewAll = m.Epoch
	}
	if m.Epoch != s.epoch || s.epoch.IsZero() {
		return
	}
	for id, renew := range m.Renew {
		if l, ok := s.links[id]; ok {
			l.renew, l.grant = renew, renew
			if renew {
				s.exchange(c, id, l)
			}
		}
	}
}

// queue adds commands to the next exchange. A stop replaces start commands of its task that were not sent.
func (s *Service) queue(c *kernel.Context, m message.WorkerCommand) {
	if m.Epoch != s.epoch || s.epoch.IsZero() {
		return
	}
	l, ok := s.links[m.Worker]
	if !ok {
		ends := time.Now().Add(gang.WorkerLeaseDuration + exchangeTimeout)
		s.tell(c, message.WorkerLost{Worker: m.Worker, Epoch: s.epoch, LeaseEnds: ends})
		return
	}
	for _, cmd := range m.Commands {
		l.add(command{notAfter: cmd.NotAfter, Command: worker.Command{
			Op: worker.Op(cmd.Op), Task: cmd.Task, GPUs: cmd.GPUs, RunMS: cmd.RunMS, Progress: cmd.Progress,
			Command: cmd.Command, Record: cmd.Record, HoldMS: holdMS(cmd.Op),
		}})
	}
	s.exchange(c, m.Worker, l)
}

func holdMS(op message.TaskOp) int64 {
	if op != message.TaskHold {
		return 0
	}
	return gang.HoldDuration.Milliseconds()
}

// tell sends a message to the scheduler and reports whether it was delivered.
func (s *Service) tell(c *kernel.Context, m kernel.Message) bool {
	err := c.Send(names.Scheduler, m)
	if err != nil {
		klog.ErrorS(err, "message to the scheduler refused", "kind", m.Kind())
	}
	return err == nil
}
