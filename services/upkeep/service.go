// Package upkeep is the service that carries out rolling maintenance on the VM of the holder. It orders the upkeep of
// the machines in the waves that operators have ordered, and records the status of the waves.
package upkeep

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/boottime"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/upkeep"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
)

const (
	// stepInterval is the interval at which the machines are checked while a wave is unfinished.
	stepInterval = 400 * time.Millisecond
	// statusReadDelay is the delay before a failed reading of the status of the waves is repeated.
	statusReadDelay = time.Second
	// recoveryDelay is the delay before the waves are planned anew after a panic, which they may cause again.
	recoveryDelay = time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = 2 * time.Second
)

type (
	replanDue     struct{}
	statusReadDue struct{ fencingToken workload.FencingToken }
	statusRead    struct {
		fencingToken workload.FencingToken
		revisions    map[int64]int64
		completed    map[int64]int64
		err          error
	}
	stepDue        struct{ fencingToken workload.FencingToken }
	machinesListed struct {
		fencingToken workload.FencingToken
		list         upkeep.List
		err          error
	}
	orderSent struct {
		order        upkeep.Order
		fencingToken workload.FencingToken
		err          error
	}
	waveStatusRecorded struct {
		fencingToken workload.FencingToken
		wave         int64
		completed    bool
		// orderRevision is that of the order for the wave, revision that of the new entry.
		orderRevision, revision int64
		err                     error
	}
)

// Kind implements kernel.Message.
func (replanDue) Kind() string { return "upkeep_replan_due" }

// Kind implements kernel.Message.
func (statusReadDue) Kind() string { return "upkeep_status_due" }

// Kind implements kernel.Message.
func (statusRead) Kind() string { return "upkeep_status_read" }

// Kind implements kernel.Message.
func (stepDue) Kind() string { return "upkeep_step_due" }

// Kind implements kernel.Message.
func (machinesListed) Kind() string { return "upkeep_listed" }

// Kind implements kernel.Message.
func (orderSent) Kind() string { return "upkeep_upkept" }

// Kind implements kernel.Message.
func (waveStatusRecorded) Kind() string { return "upkeep_reported" }

// Service owns the progress of the maintenance waves.
type Service struct {
	vm         string
	cloud      *cloud.Client
	store      *metastore.Client
	metrics    *metrics.Set
	upkeepTime time.Duration

	waves []workload.Wave
	// fencingToken is the fencing token of the holder; 0 while this VM is not the holder.
	fencingToken workload.FencingToken
	// completed holds the revisions at which waves were recorded as completed, as of the begin of the term; nil until they
	// are read. No wave is planned before.
	completed map[int64]int64
	// statusRevisions holds the revisions of the recorded states of waves, as far as they are known. recording holds the waves whose state
	// is being recorded.
	statusRevisions map[int64]int64
	recording       map[int64]bool
	planner         *upkeep.Planner
	// evacuating lists the executors of the last evacuation request to the holder. vacated lists those that certainly run
	// nothing, from its reply; none before the reply.
	evacuating []workload.ExecutorID
	// denied holds the orders whose delay by the holder was logged.
	denied  map[upkeep.Order]bool
	vacated []workload.ExecutorID
	// now is the clock of permits.
	now boottime.Clock
}

// PermitError reports an order that was not sent because this VM may not be the holder any more.
type PermitError struct{ Cause error }

func (e *PermitError) Error() string { return fmt.Sprintf("no permit for the order: %v", e.Cause) }

// Unwrap returns the cause.
func (e *PermitError) Unwrap() error { return e.Cause }

// PermitExpiredError reports an order that was not sent because its permit had expired.
type PermitExpiredError struct {
	// Late is how much too late the order was.
	Late time.Duration
}

func (e *PermitExpiredError) Error() string {
	return fmt.Sprintf("order not sent: its permit expired %v ago", e.Late)
}

// New returns the service; upkeepTime is the duration of an upkeep.
func New(vm string, cloud *cloud.Client, store *metastore.Client, upkeepTime time.Duration, m *metrics.Set) *Service {
	return &Service{vm: vm, cloud: cloud, store: store, upkeepTime: upkeepTime, metrics: m, now: boottime.Now}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Upkeep, Service: s, DependsOn: []kernel.Name{names.Holder},
		Subscriptions: []string{message.KindCatalogChanged, message.KindHolderChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. It plans all waves anew, as the service of a new holder does.
func (s *Service) Recover(c *kernel.Context, _ *kernel.PanicError) bool {
	s.planner, s.completed = nil, nil
	c.SendAfter(recoveryDelay, replanDue{})
	return true
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.CatalogChanged:
		s.waves = m.Waves
		s.updatePlanner(c)
	case message.HolderChanged:
		if s.fencingToken != m.FencingToken {
			s.fencingToken, s.planner, s.vacated, s.completed = m.FencingToken, nil, nil, nil
			s.readStatus(c)
		}
	case replanDue:
		s.readStatus(c)
	case statusReadDue:
		if m.fencingToken == s.fencingToken {
			s.readStatus(c)
		}
	case statusRead:
		if m.fencingToken == s.fencingToken {
			s.handleStatusRead(c, m)
		}
	case stepDue:
		if m.fencingToken == s.fencingToken && s.planner != nil {
			s.listMachines(c)
		}
	case machinesListed:
		if m.fencingToken == s.fencingToken && s.planner != nil {
			s.step(c, m)
		}
	case orderSent:
		s.handleOrderSent(m)
	case waveStatusRecorded:
		s.handleWaveStatusRecorded(m)
	}
}

// readStatus reads which waves earlier holders have completed if this VM is the holder.
func (s *Service) readStatus(c *kernel.Context) {
	if s.fencingToken == 0 {
		return
	}
	fencingToken := s.fencingToken
	c.Spawn(func(ctx context.Context) kernel.Message {
		items, _, err := s.store.List(ctx, operator.WaveStatusPrefix)
		revisions, completed := map[int64]int64{}, map[int64]int64{}
		for i := range items {
			n, isCompleted, ok := operator.DecodeWaveStatus(items[i].Key, items[i].Value)
			if !ok {
				continue
			}
			revisions[n] = items[i].Revision
			if isCompleted {
				completed[n] = items[i].Revision
			}
		}
		return statusRead{fencingToken, revisions, completed, err}
	})
}

func (s *Service) handleStatusRead(c *kernel.Context, m statusRead) {
	if m.err != nil {
		s.metrics.CountEvent("wave_status_unread", 1)
		c.SendAfter(statusReadDelay, statusReadDue{m.fencingToken})
		return
	}
	s.completed, s.statusRevisions, s.recording = m.completed, m.revisions, map[int64]bool{}
	s.denied = map[upkeep.Order]bool{}
	s.updatePlanner(c)
}

// unfinishedWaves returns the waves without those that were completed before the term. A wave that was ordered anew since
// its completion is unfinished.
func (s *Service) unfinishedWaves() []workload.Wave {
	var out []workload.Wave
	for _, w := range s.waves {
		if completedAt, ok := s.completed[w.Number]; !ok || w.Revision > completedAt {
			out = append(out, w)
		}
	}
	return out
}

// updatePlanner passes the waves to the planner if this VM is the holder and there are any. It starts the periodic
// steps when the planner becomes active.
func (s *Service) updatePlanner(c *kernel.Context) {
	if s.fencingToken == 0 || len(s.waves) == 0 && s.planner == nil || s.completed == nil {
		return
	}
	idle := s.planner == nil || !s.planner.Active()
	if s.planner == nil {
		s.planner = upkeep.New(s.upkeepTime)
	}
	s.planner.SetWaves(time.Now(), s.unfinishedWaves())
	if idle && s.planner.Active() {
		c.SendAfter(0, stepDue{s.fencingToken})
	}
}

func (s *Service) listMachines(c *kernel.Context) {
	fencingToken, requestedAt := s.fencingToken, time.Now()
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		machines, err := s.cloud.ListMachines(ctx)
		return machinesListed{fencingToken, upkeep.List{RequestedAt: requestedAt, Machines: machines}, err}
	})
}

func (s *Service) step(c *kernel.Context, m machinesListed) {
	if m.err != nil {
		s.metrics.CountEvent("machines_unread", 1)
		c.SendAfter(stepInterval, stepDue{s.fencingToken})
		return
	}
	p := s.planner.Step(time.Now(), m.list, s.vacated)
	for _, o := range p.Orders {
		s.sendOrder(c, o, m.list.Executor(o.Machine))
	}
	for _, w := range p.StartedWaves {
		s.recordWaveStatus(c, w, false)
	}
	for _, w := range p.CompletedWaves {
		s.recordWaveStatus(c, w, true)
	}
	if len(p.Evacuate) > 0 || !slices.Equal(p.Evacuate, s.evacuating) {
		s.evacuating, s.vacated = p.Evacuate, nil
		fencingToken := s.fencingToken
		c.Request(names.Holder, message.EvacuateExecutors{Executors: p.Evacuate}, func(r kernel.Message, err error) {
			if v, ok := r.(message.VacatedExecutors); err == nil && ok && fencingToken == s.fencingToken {
				s.vacated = v.Executors
			}
		})
	}
	if s.planner.Active() || len(p.CompletedWaves) > 0 {
		c.SendAfter(stepInterval, stepDue{s.fencingToken})
	}
}

// sendOrder sends an order, which terminates an executor, if the holder permits it.
func (s *Service) sendOrder(c *kernel.Context, o upkeep.Order, executor workload.ExecutorID) {
	s.planner.MarkOrdered(o)
	fencingToken := s.fencingToken
	c.Request(names.Holder, message.PermitQuery{FencingToken: fencingToken, Executor: executor}, func(r kernel.Message, err error) {
		if _, denied := r.(message.OrderDenied); denied && err == nil {
			s.handleOrderDenied(o, executor, fencingToken)
			return
		}
		permit, ok := r.(message.OrderPermit)
		if err != nil || !ok {
			s.handleOrderSent(orderSent{o, fencingToken, &PermitError{Cause: err}})
			return
		}
		if fencingToken == s.fencingToken {
			delete(s.denied, o)
		}
		klog.InfoS("upkeep ordered", "vm", s.vm, "service", names.Upkeep, "wave", o.Wave, "machine", o.Machine, "fence", fencingToken)
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			err := s.cloud.StartUpkeep(ctx, o.Machine, o.Wave, s.vm, fencingToken, permitGuard(s.now, permit))
			return orderSent{o, fencingToken, err}
		})
	})
}

// handleOrderDenied keeps an order for a later step. It logs the reason once.
func (s *Service) handleOrderDenied(o upkeep.Order, executor workload.ExecutorID, fencingToken workload.FencingToken) {
	if s.planner == nil || fencingToken != s.fencingToken {
		return
	}
	s.metrics.CountEvent("upkeep_waits", 1)
	s.planner.MarkRefused(o)
	if !s.denied[o] {
		s.denied[o] = true
		klog.InfoS("upkeep waits", "vm", s.vm, "service", names.Upkeep, "wave", o.Wave, "machine", o.Machine, "executor", executor, "reason", "a step would miss more tasks than it may")
	}
}

// permitGuard returns a guard of an order that fails once the permit has expired. The machine service may not check
// fencing tokens, so that a late order could reach a machine after those of the next holder.
func permitGuard(now boottime.Clock, permit message.OrderPermit) func() error {
	return func() error {
		if late := now() - permit.ValidUntil; late >= 0 {
			return &PermitExpiredError{Late: late}
		}
		return nil
	}
}

func (s *Service) handleOrderSent(m orderSent) {
	if s.planner == nil || m.fencingToken != s.fencingToken {
		return
	}
	if m.err == nil {
		klog.InfoS("upkeep begun", "vm", s.vm, "service", names.Upkeep, "wave", m.order.Wave, "machine", m.order.Machine)
		s.planner.MarkBegun(time.Now(), m.order)
		return
	}
	s.metrics.CountEvent("upkeep_failed", 1)
	klog.InfoS("upkeep order failed", "vm", s.vm, "service", names.Upkeep, "wave", m.order.Wave, "machine", m.order.Machine, "error", m.err.Error())
	var unknown *cloud.UnknownMachineError
	switch {
	case errors.As(m.err, &unknown):
		s.planner.MarkNotNeeded(m.order)
	case refused(m.err):
		s.planner.MarkRefused(m.order)
	default:
		s.planner.MarkUnproven(m.order)
	}
}

// refused reports whether an error shows that the order will not be carried out.
func refused(err error) bool {
	var (
		permit  *PermitError
		notSent *httpjson.NotSentError
		busy    *cloud.BusyError
		fenced  *cloud.FencedError
		status  *httpjson.StatusError
	)
	return errors.As(err, &permit) || errors.As(err, &notSent) || errors.As(err, &busy) || errors.As(err, &fenced) ||
		errors.As(err, &status) && status.Status == http.StatusTooManyRequests
}

// recordWaveStatus writes to the store that a wave has started or is completed. The write is repeated by the next step until it has
// succeeded.
func (s *Service) recordWaveStatus(c *kernel.Context, wave int64, completed bool) {
	if s.recording[wave] {
		return
	}
	s.recording[wave] = true
	key, value := operator.EncodeWaveStatus(wave, completed)
	out := waveStatusRecorded{fencingToken: s.fencingToken, wave: wave, completed: completed, orderRevision: s.planner.Revision(wave)}
	txn := metastore.Txn{
		Conditions: []metastore.Condition{
			// A holder that has been replaced must not overwrite what the next one has recorded.
			{Key: records.HolderKey, Revision: int64(s.fencingToken)},
			// The state is that of the order that this holder knows. Operators may have changed it.
			{Key: operator.WaveKey(wave), Revision: out.orderRevision},
			// An earlier write whose outcome is unknown may be carried out late.
			{Key: key, Revision: s.statusRevisions[wave]},
		},
		Writes: []metastore.Write{{Key: key, Value: value}},
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out.revision, out.err = s.store.Commit(ctx, txn)
		return out
	})
}

func (s *Service) handleWaveStatusRecorded(m waveStatusRecorded) {
	if m.fencingToken != s.fencingToken || s.planner == nil {
		return
	}
	delete(s.recording, m.wave)
	var conflict *metastore.ConflictError
	switch {
	case errors.As(m.err, &conflict):
		s.metrics.CountEvent("wave_status_conflict", 1)
		key, _ := operator.EncodeWaveStatus(m.wave, m.completed)
		for _, item := range conflict.Items {
			if item.Key == key {
				s.statusRevisions[m.wave] = item.Revision
			}
		}
	case m.err != nil:
		s.metrics.CountEvent("wave_status_failed", 1)
	default:
		s.statusRevisions[m.wave] = m.revision
		if !m.completed {
			s.planner.MarkStartRecorded(m.wave, m.orderRevision)
			return
		}
		klog.InfoS("wave of upkeep completed", "vm", s.vm, "service", names.Upkeep, "wave", m.wave)
		s.planner.MarkCompletionRecorded(m.wave, m.orderRevision)
	}
}
