// Package workers is the service that owns the links to the workers of the own failure domain.
package workers

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
)

const (
	// Lease is the time after which a worker stops all tasks if its holder is silent.
	Lease = 6 * time.Second
	// exchangeEvery is the interval of exchanges without commands.
	exchangeEvery = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// lostAfter is the silence after which a worker counts as lost. It is shorter than Lease, so that the
	// holder stops the rest of a gang before the lease of the lost part expires.
	lostAfter = 3 * time.Second
	// holdTime is the time that a held task waits for its release.
	holdTime = 5 * time.Second
)

type (
	exchangeDue  struct{ worker model.WorkerID }
	exchangeDone struct {
		worker model.WorkerID
		epoch  model.Epoch
		report worker.Report
		err    error
		sent   []worker.Command
	}
)

// Kind implements kernel.Message.
func (exchangeDue) Kind() string { return "exchange_due" }

// Kind implements kernel.Message.
func (exchangeDone) Kind() string { return "exchange_done" }

// link is the state of one worker's connection.
type link struct {
	client   worker.Client
	address  string
	seen     uint64
	pending  []worker.Command
	busy     bool
	lost     bool
	lastHear time.Time
	cancel   func()
}

// Service exchanges commands and reports with the workers while the VM holds its failure domain.
type Service struct {
	vm      model.VMID
	domain  model.FailureDomain
	dial    func(address string) worker.Client
	metrics *metrics.Set
	epoch   model.Epoch
	links   map[model.WorkerID]*link
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
	case exchangeDue:
		s.exchange(c, m.worker)
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
		l.seen, l.pending, l.lost, l.lastHear = 0, nil, false, time.Now()
		s.exchange(c, id)
	}
}

func (s *Service) setWorkers(c *kernel.Context, vms []model.VM) {
	known := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		known[id] = true
		if l, ok := s.links[id]; ok && l.address == vm.Address {
			continue
		}
		s.links[id] = &link{client: s.dial(vm.Address), address: vm.Address, lastHear: time.Now()}
		s.exchange(c, id)
	}
	for id, l := range s.links {
		if !known[id] {
			l.client.Close()
			delete(s.links, id)
		}
	}
}

func (s *Service) queue(c *kernel.Context, m message.WorkerCommand) {
	l, ok := s.links[m.Worker]
	if !ok || m.Epoch != s.epoch {
		return
	}
	for _, cmd := range m.Commands {
		l.pending = append(l.pending, worker.Command{
			Op: worker.Op(cmd.Op), Task: cmd.Task, GPUs: cmd.GPUs, RunMS: cmd.RunMS,
			Progress: cmd.Progress, Command: cmd.Command, HoldMS: holdTime.Milliseconds(),
		})
	}
	s.exchange(c, m.Worker)
}

// exchange starts an exchange with a worker unless one is in progress.
func (s *Service) exchange(c *kernel.Context, id model.WorkerID) {
	l, ok := s.links[id]
	if !ok || l.busy || s.epoch.IsZero() {
		return
	}
	if l.cancel != nil {
		l.cancel()
	}
	l.busy = true
	x := worker.Exchange{
		Holder: s.vm, Epoch: s.epoch, Domain: s.domain, LeaseMS: Lease.Milliseconds(),
		Seen: l.seen, Commands: l.pending,
	}
	l.pending = nil
	client := l.client
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		r, err := client.Exchange(ctx, x)
		return exchangeDone{worker: id, epoch: x.Epoch, report: r, err: err, sent: x.Commands}
	})
}

func (s *Service) finish(c *kernel.Context, m exchangeDone) {
	l, ok := s.links[m.worker]
	if !ok {
		return
	}
	l.busy = false
	switch {
	case m.epoch != s.epoch:
	case m.err != nil:
		s.metrics.Retry(failure.RetryWorkerUnreachable)
		l.pending = append(slices.Clone(m.sent), l.pending...)
		s.checkLost(c, m.worker, l)
	case !m.report.Accepted:
		_ = c.Send(names.Authority, message.EpochRefused{Worker: m.worker, Epoch: m.report.Epoch})
	default:
		s.deliver(c, m, l)
	}
	if len(l.pending) > 0 && m.err == nil || m.epoch != s.epoch {
		s.exchange(c, m.worker)
		return
	}
	l.cancel = c.After(exchangeEvery, exchangeDue{worker: m.worker})
}

func (s *Service) checkLost(c *kernel.Context, id model.WorkerID, l *link) {
	if l.lost || time.Since(l.lastHear) < lostAfter {
		return
	}
	l.lost, l.pending, l.seen = true, nil, 0
	_ = c.Send(names.Scheduler, message.WorkerLost{Worker: id, Epoch: s.epoch})
}

func (s *Service) deliver(c *kernel.Context, m exchangeDone, l *link) {
	l.lost, l.lastHear = false, time.Now()
	out := message.WorkerReport{Worker: m.worker, Epoch: m.epoch, Full: m.report.Full, Tasks: m.report.Tasks}
	for _, r := range m.report.Refusals {
		out.Refused = append(out.Refused, r.Task)
	}
	first := l.seen == 0
	if first || len(out.Tasks)+len(out.Refused) > 0 {
		if err := c.Send(names.Scheduler, out); err != nil {
			return // The worker repeats the same differences, because seen does not advance.
		}
	}
	l.seen = m.report.Number
}
