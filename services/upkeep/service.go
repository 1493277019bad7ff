// Package upkeep is the service that, on the holder's VM, takes machines down for the upkeep that operators have ordered.
package upkeep

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/upkeep"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
)

const (
	// stepEvery is the time between two looks at the machines while a wave goes on.
	stepEvery = 400 * time.Millisecond
	// callTimeout bounds a call to the platform.
	callTimeout = 2 * time.Second
)

type (
	stepDue struct{ fence workload.FencingToken }
	listed  struct {
		fence    workload.FencingToken
		machines []workload.Machine
		err      error
	}
	upkept struct {
		order upkeep.Order
		err   error
	}
	reported struct {
		wave      int64
		completed bool
		err       error
	}
)

// Kind implements kernel.Message.
func (stepDue) Kind() string { return "upkeep_step_due" }

// Kind implements kernel.Message.
func (listed) Kind() string { return "upkeep_listed" }

// Kind implements kernel.Message.
func (upkept) Kind() string { return "upkeep_upkept" }

// Kind implements kernel.Message.
func (reported) Kind() string { return "upkeep_reported" }

// Service owns the progress of the waves.
type Service struct {
	vm      string
	cloud   *cloud.Client
	store   *metastore.Client
	metrics *metrics.Set
	downFor time.Duration

	waves []workload.Wave
	// fence is the holder's fencing token; 0 while another VM holds the fleet.
	fence      workload.FencingToken
	planner    *upkeep.Planner
	occupied   []workload.ExecutorID
	evacuating []workload.ExecutorID
}

// New returns the service; downFor is how long an upkeep takes.
func New(vm string, cloud *cloud.Client, store *metastore.Client, downFor time.Duration, m *metrics.Set) *Service {
	return &Service{vm: vm, cloud: cloud, store: store, downFor: downFor, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Upkeep, Service: s, After: []kernel.Name{names.Holder},
		Subscribes: []string{message.KindCatalogChanged, message.KindHolderChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.CatalogChanged:
		s.waves = m.Waves
		s.begin(c)
	case message.HolderChanged:
		if s.fence != m.FencingToken {
			s.fence, s.planner = m.FencingToken, nil
			s.begin(c)
		}
	case stepDue:
		if m.fence == s.fence && s.planner != nil {
			s.list(c)
		}
	case listed:
		if m.fence == s.fence && s.planner != nil {
			s.step(c, m)
		}
	case upkept:
		s.upkept(m)
	case reported:
		s.reported(m)
	}
}

// begin follows the waves while this VM holds the fleet and there are any.
func (s *Service) begin(c *kernel.Context) {
	if s.fence == 0 || len(s.waves) == 0 {
		return
	}
	idle := s.planner == nil || !s.planner.Active()
	if s.planner == nil {
		s.planner = upkeep.New(s.downFor)
	}
	s.planner.SetWaves(time.Now(), s.waves)
	if idle && s.planner.Active() {
		c.After(0, stepDue{s.fence})
	}
}

func (s *Service) list(c *kernel.Context) {
	fence := s.fence
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		machines, err := s.cloud.Machines(ctx)
		return listed{fence, machines, err}
	})
}

func (s *Service) step(c *kernel.Context, m listed) {
	if m.err != nil {
		s.metrics.CountEvent("machines_unread", 1)
		c.After(stepEvery, stepDue{s.fence})
		return
	}
	p := s.planner.Step(time.Now(), m.machines, s.occupied)
	for _, o := range p.Orders {
		s.order(c, o)
	}
	for _, w := range p.StartedWaves {
		s.report(c, w, false)
	}
	for _, w := range p.CompletedWaves {
		s.report(c, w, true)
	}
	if len(p.Evacuate) > 0 || !slices.Equal(p.Evacuate, s.evacuating) {
		s.evacuating = p.Evacuate
		c.Request(names.Holder, message.EvacuateExecutors{Executors: p.Evacuate}, func(r kernel.Message, err error) {
			if o, ok := r.(message.OccupiedExecutors); err == nil && ok {
				s.occupied = o.Executors
			}
		})
	}
	if s.planner.Active() || len(p.CompletedWaves) > 0 {
		c.After(stepEvery, stepDue{s.fence})
	}
}

func (s *Service) order(c *kernel.Context, o upkeep.Order) {
	klog.InfoS("upkeep ordered", "vm", s.vm, "service", names.Upkeep, "wave", o.Wave, "machine", o.Machine, "fence", s.fence)
	s.planner.MarkOrdered(time.Now(), o)
	fence := s.fence
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return upkept{o, s.cloud.Upkeep(ctx, o.Machine, o.Wave, s.vm, fence)}
	})
}

func (s *Service) upkept(m upkept) {
	if m.err == nil || s.planner == nil {
		return
	}
	var unknown *cloud.UnknownMachineError
	s.metrics.CountEvent("upkeep_failed", 1)
	klog.InfoS("upkeep not begun", "vm", s.vm, "service", names.Upkeep, "wave", m.order.Wave, "machine", m.order.Machine, "error", m.err.Error())
	s.planner.MarkRefused(m.order, errors.As(m.err, &unknown))
}

// report records how far a wave is.
func (s *Service) report(c *kernel.Context, wave int64, completed bool) {
	key, value := operator.EncodeWaveStatus(wave, completed)
	c.Spawn(func(ctx context.Context) kernel.Message {
		_, err := s.store.Commit(ctx, metastore.Txn{Set: []metastore.Write{{Key: key, Value: value}}})
		return reported{wave, completed, err}
	})
}

func (s *Service) reported(m reported) {
	if m.err != nil {
		s.metrics.CountEvent("wave_status_failed", 1)
		return
	}
	if !m.completed || s.planner == nil {
		return
	}
	klog.InfoS("wave of upkeep completed", "vm", s.vm, "service", names.Upkeep, "wave", m.wave)
	s.planner.MarkCompletionRecorded(m.wave)
}
