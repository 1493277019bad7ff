package bench

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/verbenaflow/verbenaflow/decisions/domains"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// DomainSelectionOptions selects the runs of RunDomainSelection.
type DomainSelectionOptions struct {
	// Scenarios names the scenarios: today-3 and large-7; empty means both.
	Scenarios []string
	// Variants names the variants of the selection of failure domains; empty means all.
	Variants []string
	// Seeds are the random seeds of the jobs and faults; empty means 1, 2 and 3.
	Seeds []uint64
	// OfferedLoads are the offered loads as fractions of the capacity; empty means 0.7 and 0.95.
	OfferedLoads []float64
}

// domainScenario is a scenario whose failure domains are spread over several regions.
type domainScenario struct {
	scenario
	regions int
}

var domainScenarios = []domainScenario{
	{scenario{name: "today-3", domains: 3, workers: 50, accounts: 4, arrivalSpan: 72 * time.Hour, maxGangTasks: 8, skewed: true}, 3},
	{scenario{name: "large-7", domains: 7, workers: 1200, accounts: 60, arrivalSpan: 24 * time.Hour, maxGangTasks: 16, skewed: true}, 2},
}

// domainVariant is a variant of the selection of failure domains.
type domainVariant struct {
	name string
	// chooseDomain selects the failure domain of a job at its submission; otherwise it is the one where the job
	// arrives. transferQueued transfers queued jobs to other failure domains.
	chooseDomain, transferQueued bool
	rules                        domains.Rules
}

// modifiedRules returns the default rules after change.
func modifiedRules(change func(*domains.Rules)) domains.Rules {
	r := domains.DefaultRules()
	change(&r)
	return r
}

var domainVariants = []domainVariant{
	{name: "stay"},
	{name: "choice", chooseDomain: true, rules: domains.DefaultRules()},
	{name: "choice transfers", chooseDomain: true, transferQueued: true, rules: domains.DefaultRules()},
	{name: "transfers only", transferQueued: true, rules: domains.DefaultRules()},
	{name: "give up 1 h", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.MaxLostWork = time.Hour })},
	{name: "give up 5 min", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.MaxLostWork = 5 * time.Minute })},
	{name: "give up after 1x", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.LostWorkWaitFactor = 1 })},
	{name: "give up after 4x", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.LostWorkWaitFactor = 4 })},
	{name: "starts only", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.ImmediateStartOnly = true })},
	{name: "youngest first", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.YoungestFirst = true })},
	{name: "herd 1", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.ExpectedLoadFactor = 1 })},
	{name: "region margin 0.05", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.RegionMargin = 0.05 })},
	{name: "margin 0.15", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.Margin = 0.15 })},
	{name: "gang margin 0.05", chooseDomain: true, transferQueued: true, rules: modifiedRules(func(r *domains.Rules) { r.GangMargin = 0.05 })},
}

var domainHeader = []string{
	"scenario", "load", "variant", "seed", "completion_h_mean", "completion_h_p95", "large_wait_h_mean", "large_wait_h_p95",
	"urgent_late", "window_gpu_h", "transfers", "refused", "most_moves", "elsewhere_share", "cross_region_share",
	"given_up_gpu_h", "unfinished", "ended",
}

// RunDomainSelection compares variants of the selection of failure domains. It simulates each variant in virtual time
// with the same jobs and faults: arrivals are spread unevenly over the failure domains, and one failure domain is out
// of service for some time. It prints a table of means over the seeds to w and writes one line per run to csvPath,
// unless csvPath is empty. It returns an error if a name is unknown or a write fails.
func RunDomainSelection(o DomainSelectionOptions, w io.Writer, csvPath string) error {
	chosenScenarios, chosenVariants, err := o.resolve()
	if err != nil {
		return err
	}
	c := comparison{header: domainHeader, decimals: 4, loads: o.OfferedLoads, seeds: o.Seeds}
	for _, s := range chosenScenarios {
		c.scenarioNames = append(c.scenarioNames, s.name)
	}
	for _, v := range chosenVariants {
		c.caseNames = append(c.caseNames, v.name)
	}
	return c.print(w, csvPath, func(scenarioIndex, variantIndex int, load float64, seed uint64) []float64 {
		return chosenScenarios[scenarioIndex].run(load, seed, chosenVariants[variantIndex])
	})
}

// resolve sets defaults and looks up the scenarios and variants by name.
func (o *DomainSelectionOptions) resolve() ([]domainScenario, []domainVariant, error) {
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	if len(o.OfferedLoads) == 0 {
		o.OfferedLoads = []float64{0.7, 0.95}
	}
	chosenScenarios, err := selectByName(domainScenarios, o.Scenarios, "scenario", func(s domainScenario) string { return s.name })
	if err != nil {
		return nil, nil, err
	}
	chosenVariants, err := selectByName(domainVariants, o.Variants, "variant", func(v domainVariant) string { return v.name })
	return chosenScenarios, chosenVariants, err
}

// run simulates one run and returns its values in the order of domainHeader. window_gpu_h does not include the work
// that transfers discarded during the fault window.
func (s domainScenario) run(load float64, seed uint64, v domainVariant) []float64 {
	const hour = 3600
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := newSimulation(s.scenario, start, rand.New(rand.NewPCG(seed, 0)), load, func(d int) planner {
		p := plannerFactory(plan.Options{})(domainName(d))
		p.SetPolicy(s.preset(true))
		return p
	})
	sim.router = newRouter(s.scenario, s.regions, v)
	results, routing := sim.simulate(), &sim.router.results
	completed := float64(max(1, routing.completed))
	return []float64{
		mean(results.completionTimes) / hour, percentile(results.completionTimes, 95) / hour,
		mean(results.largeWaits) / hour, percentile(results.largeWaits, 95) / hour,
		float64(results.urgentLate), (results.faultWindowWork - routing.faultWindowDiscardedWork) / hour,
		float64(routing.transfers), float64(routing.refusedTransfers), float64(routing.maxTransfersPerJob),
		float64(routing.completedElsewhere) / completed, float64(routing.completedInOtherRegion) / completed, routing.discardedWork / hour,
		float64(results.unfinished), float64(len(results.completionTimes)),
	}
}
