package bench

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/verbenaflow/verbenaflow/decisions/domains"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// DomainOptions select the runs of RunDomains.
type DomainOptions struct {
	// Scenarios names the sizes: today-3 and large-7; empty means both.
	Scenarios []string
	// Variants names the ways to choose failure domains; empty means all.
	Variants []string
	// Seeds are the seeds of the drawn jobs; empty means 1, 2 and 3.
	Seeds []uint64
	// Loads are the offered loads as parts of the capacity; empty means 0.7 and 0.95.
	Loads []float64
}

// domainScenario is a size with its number of regions.
type domainScenario struct {
	scenario
	regions int
}

var domainScenarios = []domainScenario{
	{scenario{name: "today-3", domains: 3, workers: 50, accounts: 4, span: 72 * time.Hour, maxTasks: 8, skewed: true}, 3},
	{scenario{name: "large-7", domains: 7, workers: 1200, accounts: 60, span: 24 * time.Hour, maxTasks: 16, skewed: true}, 2},
}

// variant is a way to choose the failure domains of jobs.
type variant struct {
	name             string
	choice, transfer bool
	rules            domains.Rules
}

func with(change func(*domains.Rules)) domains.Rules {
	r := domains.DefaultRules()
	change(&r)
	return r
}

var variants = []variant{
	{name: "stay"},
	{name: "choice", choice: true, rules: domains.DefaultRules()},
	{name: "choice transfers", choice: true, transfer: true, rules: domains.DefaultRules()},
	{name: "transfers only", transfer: true, rules: domains.DefaultRules()},
	{name: "give up 1 h", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.MaxLostWork = time.Hour })},
	{name: "give up 5 min", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.MaxLostWork = 5 * time.Minute })},
	{name: "give up after 1x", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.LostWorkWaitFactor = 1 })},
	{name: "give up after 4x", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.LostWorkWaitFactor = 4 })},
	{name: "starts only", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.ImmediateStartOnly = true })},
	{name: "youngest first", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.YoungestFirst = true })},
	{name: "herd 1", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.ExpectedLoadFactor = 1 })},
	{name: "region margin 0.05", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.RegionMargin = 0.05 })},
	{name: "margin 0.15", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.Margin = 0.15 })},
	{name: "gang margin 0.05", choice: true, transfer: true, rules: with(func(r *domains.Rules) { r.GangMargin = 0.05 })},
}

var domainHeader = []string{
	"scenario", "load", "variant", "seed", "completion_h_mean", "completion_h_p95", "large_wait_h_mean", "large_wait_h_p95",
	"urgent_late", "window_gpu_h", "transfers", "refused", "most_moves", "elsewhere_share", "cross_region_share",
	"given_up_gpu_h", "unfinished", "ended",
}

// RunDomains compares ways to choose the failure domain of jobs, in virtual time over equal jobs and faults: one failure
// domain leaves and returns, and arrivals are uneven. It prints a table of means over the seeds to w and writes one
// line per run to csvPath, unless it is empty. It returns an error of writing or of an unknown name.
func RunDomains(o DomainOptions, w io.Writer, csvPath string) error {
	scenarios, chosen, err := o.complete()
	if err != nil {
		return err
	}
	c := comparison{header: domainHeader, decimals: 4, loads: o.Loads, seeds: o.Seeds}
	for _, s := range scenarios {
		c.sizes = append(c.sizes, s.name)
	}
	for _, v := range chosen {
		c.cases = append(c.cases, v.name)
	}
	return c.print(w, csvPath, func(size, i int, load float64, seed uint64) []float64 {
		return scenarios[size].run(load, seed, chosen[i])
	})
}

func (o *DomainOptions) complete() ([]domainScenario, []variant, error) {
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.7, 0.95}
	}
	ss, err := selected(domainScenarios, o.Scenarios, "name", func(s domainScenario) string { return s.name })
	if err != nil {
		return nil, nil, err
	}
	vs, err := selected(variants, o.Variants, "name", func(v variant) string { return v.name })
	return ss, vs, err
}

// run returns the figures of one run in the order of the header. The work of the window is without what transfers
// gave up in it.
func (s domainScenario) run(load float64, seed uint64, v variant) []float64 {
	const hour = 3600
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	l := newLoop(s.scenario, start, rand.New(rand.NewPCG(seed, 0)), load, func(d int) planner {
		p := withOptions(plan.Options{})(domainName(d))
		p.SetPolicy(s.policy(true))
		return p
	})
	l.router = newRouter(s.scenario, s.regions, v)
	m, r := l.simulate(), &l.router.m
	ended := float64(max(1, r.ended))
	return []float64{
		mean(m.completion) / hour, percentile(m.completion, 95) / hour,
		mean(m.largeWaits) / hour, percentile(m.largeWaits, 95) / hour,
		float64(m.urgentLate), (m.windowWork - r.windowLost) / hour,
		float64(r.transfers), float64(r.refused), float64(r.mostMoves),
		float64(r.moved) / ended, float64(r.crossed) / ended, r.lostWork / hour,
		float64(m.unfinished), float64(len(m.completion)),
	}
}
