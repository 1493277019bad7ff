package runtimes

import (
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// paceGain is the share by which the pace of a host moves towards that of its latest run, maxPaceStep the largest
	// deviation of a run that counts, as a natural logarithm. A single run shows the pace only up to the spread of run
	// times; with this gain a change of the pace to a half shows within three runs.
	paceGain    = 0.2
	maxPaceStep = 1.0
	// paceKindRuns is the number of runs that the pace of the kind counts for at a new host.
	paceKindRuns = 2
	// paceReturn is the share by which the pace of a host returns towards that of its kind with each run. Run times alone
	// do not tell a queue of short tasks from fast executors if these run nothing else.
	paceReturn = 0.01
	// maxPace bounds paces and their inverses, as a natural logarithm: a factor of 4.
	maxPace = 1.386
	// paceTie is the difference of paces below which the slowest executor of a gang is not known.
	paceTie = 0.15
	// maxHosts bounds the hosts whose pace is kept: those of the 3,000 executors that are supported, and their replacements.
	maxHosts = 4096
	// runCountHalfLife is the half-life of a run in the count of a host's runs, maxRunShare the multiple of the mean count
	// above which the weight of a host's runs decreases.
	runCountHalfLife = time.Minute
	maxRunShare      = 2.0
)

// hostKey identifies a host over the lives of its executors. An executor of another kind at the same address is another
// host.
type hostKey struct{ Address, Kind string }

// host is where successive executors run. It is kept from the first run on it.
type host struct {
	key hostKey
	// logPace is the logarithm of the pace, relative to an arbitrary common origin.
	logPace float64
	// observations is the number of runs from which the pace was learned.
	observations int
	runs         runCount
	lastUse      int64
}

// gain returns the share by which the next run moves the pace. The first runs of a host, which is nil before, count more.
func (h *host) gain() float64 {
	if h == nil {
		return 1.0 / paceKindRuns
	}
	return max(paceGain, 1/float64(h.observations+paceKindRuns))
}

// runCount is a count of runs with exponential decay.
type runCount struct {
	n  float64
	at time.Time
}

func (c *runCount) current(now time.Time) float64 {
	if c.n == 0 {
		return 0
	}
	return c.n * math.Exp2(-max(0, now.Sub(c.at).Seconds())/runCountHalfLife.Seconds())
}

func (c *runCount) increment(now time.Time) { c.n, c.at = c.current(now)+1, now }

// paces holds the paces of hosts. The typical pace is the mean of the logarithms over hosts, not over runs, so that it
// does not depend on which executors get the most work.
type paces struct {
	executors map[workload.ExecutorID]hostKey
	hosts     map[hostKey]*host
	// order lists the hosts in the order of their first run.
	order []*host
	kinds map[string]*paceSum
	all   paceSum
	runs  runCount
	// evicted counts the hosts that were removed to make room for others.
	evicted int64
}

// paceSum is a sum of the logarithms of the paces of hosts.
type paceSum struct {
	sum float64
	n   int
}

func (s *paceSum) add(logPace float64, n int) {
	s.sum += float64(n) * logPace
	s.n += n
}

func (s *paceSum) mean() float64 {
	if s == nil || s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

func newPaces() paces {
	return paces{executors: map[workload.ExecutorID]hostKey{}, hosts: map[hostKey]*host{}, kinds: map[string]*paceSum{}}
}

// initial returns the pace of a host without runs: the mean of its kind.
func (p *paces) initial(kind string) float64 {
	if s := p.kinds[kind]; s != nil {
		return s.mean()
	}
	return p.all.mean()
}

// addHost adds a host, in place of the one without runs for the longest time if there are maxHosts.
func (p *paces) addHost(k hostKey, logPace float64) *host {
	if len(p.order) >= maxHosts {
		oldest := slices.MinFunc(p.order, func(a, b *host) int { return int(a.lastUse - b.lastUse) })
		p.addToSums(oldest, -1)
		p.order = slices.DeleteFunc(p.order, func(h *host) bool { return h == oldest })
		delete(p.hosts, oldest.key)
		p.evicted++
	}
	h := &host{key: k, logPace: logPace}
	p.hosts[k] = h
	p.order = append(p.order, h)
	p.addToSums(h, 1)
	return h
}

// addToSums adds a host to the sums of paces, or subtracts it if n is -1.
func (p *paces) addToSums(h *host, n int) {
	k := p.kinds[h.key.Kind]
	if k == nil {
		k = &paceSum{}
		p.kinds[h.key.Kind] = k
	}
	k.add(h.logPace, n)
	p.all.add(h.logPace, n)
	if k.n == 0 {
		delete(p.kinds, h.key.Kind)
	}
}

// current returns the logarithm of the pace at a host relative to the typical one.
func (p *paces) current(k hostKey) float64 {
	logPace := p.initial(k.Kind)
	if h := p.hosts[k]; h != nil {
		logPace = h.logPace
	}
	return clamp(logPace-p.all.mean(), maxPace)
}

// log returns the logarithm of the pace of an executor relative to the typical one.
func (p *paces) log(id workload.ExecutorID) float64 {
	if k, ok := p.executors[id]; ok {
		return p.current(k)
	}
	return 0
}

// logSlowest returns the logarithm of the pace of the slowest of some executors.
func (p *paces) logSlowest(ids []workload.ExecutorID) float64 {
	if len(ids) == 0 {
		return 0
	}
	slowest := math.Inf(1)
	for _, id := range ids {
		slowest = min(slowest, p.log(id))
	}
	return slowest
}

// hostsOf returns the hosts of executors without duplicates.
func (p *paces) hostsOf(ids []workload.ExecutorID) []hostKey {
	var out []hostKey
	for _, id := range ids {
		if k, ok := p.executors[id]; ok && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// observe moves the paces of executors towards the pace that a run on them has shown. A run on several executors shows
// the pace of the slowest. If several may be the slowest, the step of each is smaller.
func (p *paces) observe(now time.Time, use int64, ids []workload.ExecutorID, shown float64) {
	slowest := p.logSlowest(ids)
	keys := p.hostsOf(ids)
	candidates := slices.DeleteFunc(slices.Clone(keys), func(k hostKey) bool { return p.current(k) > slowest+paceTie })
	// All steps are relative to the same typical pace, although each of them changes it.
	steps := make([]float64, len(candidates))
	for i, k := range candidates {
		steps[i] = p.hosts[k].gain() * clamp(shown-p.current(k), maxPaceStep) / math.Sqrt(float64(len(candidates)))
	}
	for i, k := range candidates {
		h := p.hosts[k]
		if h == nil {
			h = p.addHost(k, p.initial(k.Kind))
		}
		steps[i] -= paceReturn * (h.logPace - p.initial(k.Kind))
		p.addToSums(h, -1)
		h.logPace = p.all.mean() + clamp(h.logPace+steps[i]-p.all.mean(), maxPace)
		p.addToSums(h, 1)
		h.observations++
		h.lastUse = use
	}
	for _, k := range keys {
		if h := p.hosts[k]; h != nil {
			h.runs.increment(now)
			p.runs.increment(now)
		}
	}
}

// weight returns the weight of a run on some executors. An executor that ends runs much more often than others, as one
// does that reports success without having worked, has no more weight than maxRunShare others.
func (p *paces) weight(now time.Time, ids []workload.ExecutorID) float64 {
	total := p.runs.current(now)
	weight := 1.0
	for _, k := range p.hostsOf(ids) {
		if h := p.hosts[k]; h != nil {
			own := h.runs.current(now)
			limit := maxRunShare * (max(0, total-own)/float64(max(1, p.all.n-1)) + 1)
			weight = min(weight, limit/max(limit, own))
		}
	}
	return weight
}
