// Package catalog is the service that watches the operators' entries in the store and publishes them: the
// configuration, the failure domains that are out of service and the waves of upkeep. It also publishes whether the
// store is reachable.
package catalog

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
)

// unreachableAfter is how long the store may fail to answer before it counts as unreachable. It covers two consecutive
// watch calls that wait for their full time.
const unreachableAfter = 2500 * time.Millisecond

// recoveryDelay is the delay before the entries are listed again after a panic, which they may cause again.
const recoveryDelay = time.Second

type (
	operatorUpdate  struct{ metastore.Update }
	reachabilityDue struct{}
	watchDue        struct{}
)

// Kind implements kernel.Message.
func (watchDue) Kind() string { return "catalog_watch_due" }

// Kind implements kernel.Message.
func (operatorUpdate) Kind() string { return "catalog_followed" }

// Kind implements kernel.Message.
func (reachabilityDue) Kind() string { return "catalog_reach_due" }

// Service owns the watch of the operators' entries.
type Service struct {
	vm      string
	store   *metastore.Client
	metrics *metrics.Set

	config     *workload.Config
	outDomains map[workload.Domain]bool
	waves      map[string]workload.Wave
	// changed is set if the last update changed the published state.
	changed bool
	// lastAnswerAt is when the store last answered, reachable the reachability that was last published.
	lastAnswerAt time.Time
	reachable    bool
	// cancelWatch ends the watch of the operators' entries.
	cancelWatch context.CancelFunc
}

// New returns the service.
func New(vm string, store *metastore.Client, m *metrics.Set) *Service {
	return &Service{vm: vm, store: store, metrics: m, outDomains: map[workload.Domain]bool{}, waves: map[string]workload.Wave{}}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Catalog, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	s.watch(c)
	c.SendAfter(unreachableAfter, reachabilityDue{})
	return nil
}

// watch watches the operators' entries. It ends an earlier watch.
func (s *Service) watch(c *kernel.Context) {
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
		s.store.ListAndWatch(ctx, operator.KeyPrefix, 0, func(u metastore.Update) bool { return post(operatorUpdate{u}) })
		return nil
	})
}

// Recover implements kernel.Recoverer. An update may have been applied in part, so that the entries are listed again. The
// configuration in force is kept.
func (s *Service) Recover(c *kernel.Context, _ *kernel.PanicError) bool {
	s.cancelWatch()
	c.SendAfter(recoveryDelay, watchDue{})
	return true
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case operatorUpdate:
		s.applyUpdate(c, m.Update)
	case watchDue:
		s.watch(c)
	case reachabilityDue:
		s.checkReachability(c)
		c.SendAfter(unreachableAfter/2, reachabilityDue{})
	}
}

func (s *Service) applyUpdate(c *kernel.Context, u metastore.Update) {
	if u.Err != nil {
		s.metrics.CountEvent("operator_watch_failed", 1)
		return
	}
	s.lastAnswerAt = time.Now()
	s.setReachable(c, true)
	s.changed = u.Snapshot
	if u.Snapshot {
		clear(s.outDomains)
		clear(s.waves)
	}
	for i := range u.Items {
		s.applyItem(&u.Items[i])
	}
	for i := range u.Events {
		if u.Events[i].Removed {
			s.removeItem(u.Events[i].Key)
		} else {
			s.applyItem(&u.Events[i].Item)
		}
	}
	if s.changed && s.config != nil {
		c.Publish(message.CatalogChanged{Config: s.config, Out: s.sortedOutDomains(), Waves: s.sortedWaves()})
	}
}

func (s *Service) applyItem(item *metastore.Item) {
	if d, ok := operator.EvacuatedDomain(item.Key); ok {
		if !s.outDomains[d] {
			klog.InfoS("failure domain taken out of service", "vm", s.vm, "service", names.Catalog, "domain", d, "revision", item.Revision)
		}
		s.outDomains[d], s.changed = true, true
		return
	}
	if operator.IsWaveKey(item.Key) {
		s.applyWave(item)
		return
	}
	if item.Key != operator.ConfigKey || s.config != nil && item.Revision <= s.config.Revision {
		return
	}
	config, err := operator.DecodeConfig(item.Value, item.Revision)
	if err != nil {
		s.metrics.CountEvent("config_unreadable", 1)
		klog.ErrorS(err, "unreadable configuration ignored", "vm", s.vm, "service", names.Catalog)
		return
	}
	if s.config != nil && config.Version < s.config.Version {
		s.metrics.CountEvent("config_older", 1)
		klog.InfoS("older configuration ignored", "vm", s.vm, "service", names.Catalog, "version", config.Version, "revision", config.Revision,
			"in_force", s.config.Version)
		return
	}
	klog.InfoS("configuration in force", "vm", s.vm, "service", names.Catalog, "version", config.Version, "revision", config.Revision,
		"routes", len(config.Routes), "accounts", len(config.Accounts))
	s.config, s.changed = config, true
}

func (s *Service) applyWave(item *metastore.Item) {
	w, err := operator.DecodeWave(item.Key, item.Value, item.Revision)
	if err != nil {
		s.metrics.CountEvent("wave_unreadable", 1)
		klog.ErrorS(err, "unreadable wave ignored", "vm", s.vm, "service", names.Catalog)
		return
	}
	klog.InfoS("wave of upkeep ordered", "vm", s.vm, "service", names.Catalog, "wave", w.Number, "machines", len(w.Machines),
		"at_once", w.MaxDown, "within_ms", w.Within.Milliseconds(), "revision", item.Revision)
	s.waves[item.Key], s.changed = w, true
}

func (s *Service) sortedWaves() []workload.Wave {
	return slices.SortedFunc(maps.Values(s.waves), func(a, b workload.Wave) int { return cmp.Compare(a.Number, b.Number) })
}

func (s *Service) removeItem(key string) {
	if d, ok := operator.EvacuatedDomain(key); ok && s.outDomains[d] {
		delete(s.outDomains, d)
		s.changed = true
		klog.InfoS("failure domain back in service", "vm", s.vm, "service", names.Catalog, "domain", d)
	}
	if _, ok := s.waves[key]; ok {
		delete(s.waves, key)
		s.changed = true
	}
}

func (s *Service) sortedOutDomains() []workload.Domain {
	out := make([]workload.Domain, 0, len(s.outDomains))
	for d := range s.outDomains {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

func (s *Service) checkReachability(c *kernel.Context) {
	if time.Since(s.lastAnswerAt) > unreachableAfter {
		s.setReachable(c, false)
	}
}

func (s *Service) setReachable(c *kernel.Context, reachable bool) {
	if s.reachable == reachable {
		return
	}
	s.reachable = reachable
	klog.InfoS("store reachability changed", "vm", s.vm, "service", names.Catalog, "reachable", reachable)
	c.Publish(message.StoreReachability{Reachable: reachable})
}
