package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// PolicyOptions selects the runs of RunPolicies.
type PolicyOptions struct {
	// Scenarios names the scenarios: today, large-7 and large-1; empty means all.
	Scenarios []string
	// Seeds are the random seeds of the jobs and faults; empty means 1, 2 and 3.
	Seeds []uint64
	// OfferedLoads are the offered loads as fractions of the capacity; empty means 0.7 and 0.95.
	OfferedLoads []float64
}

// schedulingPolicy is a named combination of planner options. defragment permits the planner to move running jobs in
// order to make room for waiting gangs.
type schedulingPolicy struct {
	name       string
	defragment bool
	newPlanner func(model.FailureDomain) planner
}

// checkedPlanner adapts plan.Planner to the interface admissionChecker.
type checkedPlanner struct{ *plan.Planner }

// Check reports whether the planner admits a job.
func (c checkedPlanner) Check(s model.JobSpec) bool { return c.Planner.CheckAdmission(s) == nil }

// plannerFactory returns a constructor of planners with the options o.
func plannerFactory(o plan.Options) func(model.FailureDomain) planner {
	return func(d model.FailureDomain) planner { return checkedPlanner{plan.NewWithOptions(d, o)} }
}

var policies = []schedulingPolicy{
	{name: "baseline fifo first-fit", newPlanner: func(model.FailureDomain) planner { return plan.NewBaseline() }},
	{name: "fair best-fit", newPlanner: plannerFactory(plan.Options{})},
	{name: "fair best-fit moves", defragment: true, newPlanner: plannerFactory(plan.Options{})},
	{name: "fifo best-fit", newPlanner: plannerFactory(plan.Options{Queue: plan.FIFO})},
	{name: "fair first-fit", newPlanner: plannerFactory(plan.Options{Placement: plan.FirstFit})},
	{name: "fair best-fit by submission", newPlanner: plannerFactory(plan.Options{IgnoreRunTimes: true})},
	{name: "fair best-fit by submission, moves", defragment: true, newPlanner: plannerFactory(plan.Options{IgnoreRunTimes: true})},
	{name: "fair best-fit no-reservation", newPlanner: plannerFactory(plan.Options{DisableReservation: true})},
}

// runResults are the results of one run. Waits and other times are in seconds, unless they have the type time.Duration.
type runResults struct {
	roundTimes      []time.Duration
	completionTimes []float64
	// largeWaits are the waits of the jobs with at least largeGPUs accelerators.
	largeWaits []float64
	// urgentWaits are the waits of the urgent jobs that arrived while their failure domain was in service.
	urgentWaits []float64
	// urgentLate counts the urgent jobs that waited longer than maxUrgentWait.
	urgentLate int
	// lightWaits are the waits of the jobs of the accounts that submit the fewest jobs.
	lightWaits []float64
	// probeWaits are the waits of the probe jobs; see arrival.
	probeWaits []float64
	// reclaimTimes are the times from the last eviction in favor of a job until that job starts.
	reclaimTimes []float64
	// faultWindowWork is the work in GPU seconds during the fault window.
	faultWindowWork float64
	// lostWork is the work in GPU seconds of jobs that were stopped without a checkpoint.
	lostWork float64
	// freeGPUSeconds counts the free accelerators while jobs wait. stuckGPUSeconds counts them only while one of these
	// jobs needs no more accelerators than are free, and fittingJobSeconds counts these jobs.
	freeGPUSeconds    float64
	stuckGPUSeconds   float64
	fittingJobSeconds float64
	preemptions       int
	migrations        int
	// rejected counts the jobs that were not admitted.
	rejected   int
	unfinished int
}

var policyHeader = []string{
	"scenario", "load", "policy", "seed", "round_ms_median", "round_ms_p95", "completion_h_mean", "completion_h_p95",
	"stuck_share", "refused_jobs_mean", "large_wait_h_mean", "large_wait_h_p95", "light_wait_h_mean", "urgent_wait_s_p95", "urgent_late", "urgent_ended",
	"guarantee_wait_s_mean", "guarantee_wait_s_p95", "reclaim_s_p95", "window_gpu_h", "lost_gpu_h", "preempts", "moves", "refused", "unfinished", "ended",
}

// row returns the values in the order of policyHeader. stuck_share is the share of the free accelerator time during
// which a waiting job needs no more accelerators than are free; refused_jobs_mean is the mean number of such jobs.
func (r runResults) row(s scenario) []float64 {
	const hour = 3600
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	stuckShare := 0.0
	if r.freeGPUSeconds > 0 {
		stuckShare = r.stuckGPUSeconds / r.freeGPUSeconds
	}
	return []float64{
		ms(percentile(r.roundTimes, 50)), ms(percentile(r.roundTimes, 95)),
		mean(r.completionTimes) / hour, percentile(r.completionTimes, 95) / hour,
		stuckShare, r.fittingJobSeconds / s.arrivalSpan.Seconds(),
		mean(r.largeWaits) / hour, percentile(r.largeWaits, 95) / hour, mean(r.lightWaits) / hour, percentile(r.urgentWaits, 95), float64(r.urgentLate), float64(len(r.urgentWaits)),
		mean(r.probeWaits), percentile(r.probeWaits, 95), percentile(r.reclaimTimes, 95),
		r.faultWindowWork / hour, r.lostWork / hour, float64(r.preemptions), float64(r.migrations), float64(r.rejected), float64(r.unfinished), float64(len(r.completionTimes)),
	}
}

// RunPolicies simulates each scheduling policy in virtual time with the same jobs and faults, prints a table of means
// over the seeds to w and writes one line per run to csvPath, unless csvPath is empty. It returns an error if a
// scenario is unknown or a write fails.
func RunPolicies(o PolicyOptions, w io.Writer, csvPath string) error {
	chosenScenarios, err := o.resolve()
	if err != nil {
		return err
	}
	c := comparison{header: policyHeader, decimals: 3, loads: o.OfferedLoads, seeds: o.Seeds}
	for _, s := range chosenScenarios {
		c.scenarioNames = append(c.scenarioNames, s.name)
	}
	for _, p := range policies {
		c.caseNames = append(c.caseNames, p.name)
	}
	return c.print(w, csvPath, func(scenarioIndex, policyIndex int, load float64, seed uint64) []float64 {
		return runPolicy(chosenScenarios[scenarioIndex], load, policies[policyIndex], seed)
	})
}

// comparison runs each case with each scenario, load and seed. The first four columns of header are scenario, load,
// case and seed.
type comparison struct {
	header                   []string
	decimals                 int
	scenarioNames, caseNames []string
	loads                    []float64
	seeds                    []uint64
}

// print calls run for each combination, writes a table of means over the seeds to w and one line per run to csvPath,
// unless csvPath is empty.
func (c comparison) print(w io.Writer, csvPath string, run func(scenarioIndex, caseIndex int, load float64, seed uint64) []float64) error {
	records := [][]string{c.header}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for scenarioIndex, scenarioName := range c.scenarioNames {
		for _, load := range c.loads {
			_, _ = fmt.Fprintf(table, "\n%s, load %.2f, seeds %v\n%s\t", scenarioName, load, c.seeds, c.header[2])
			for _, h := range c.header[4:] {
				_, _ = fmt.Fprintf(table, "%s\t", h)
			}
			_, _ = fmt.Fprintln(table)
			for caseIndex, caseName := range c.caseNames {
				var rows [][]float64
				for _, seed := range c.seeds {
					row := run(scenarioIndex, caseIndex, load, seed)
					rows = append(rows, row)
					records = append(records, csvRecord(c.decimals, row, scenarioName, fmt.Sprint(load), caseName, fmt.Sprint(seed)))
				}
				printRow(table, caseName, rows)
			}
			if err := table.Flush(); err != nil {
				return errors.Wrap(err, "write the table")
			}
		}
	}
	return writeCSV(csvPath, records)
}

// resolve sets defaults and looks up the scenarios by name.
func (o *PolicyOptions) resolve() ([]scenario, error) {
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	if len(o.OfferedLoads) == 0 {
		o.OfferedLoads = []float64{0.7, 0.95}
	}
	return selectByName(scenarios, o.Scenarios, "scenario", func(s scenario) string { return s.name })
}

// selectByName returns the elements of all with the given names, or all if names is empty. kind is the kind of the
// elements, for the error message.
func selectByName[T any](all []T, names []string, kind string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(v T) bool { return nameOf(v) == n })
		if i < 0 {
			return nil, errors.Newf("unknown %s %q", kind, n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// runPolicy simulates one run and returns its values in the order of policyHeader, after the seed.
func runPolicy(s scenario, load float64, p schedulingPolicy, seed uint64) []float64 {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := newSimulation(s, start, rand.New(rand.NewPCG(seed, 0)), load, func(d int) planner {
		pl := p.newPlanner(domainName(d))
		pl.SetPolicy(s.preset(p.defragment))
		return pl
	})
	return sim.simulate().row(s)
}

// printRow prints the mean of each column of rows.
func printRow(w io.Writer, name string, rows [][]float64) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for i := range rows[0] {
		column := make([]float64, len(rows))
		for k := range rows {
			column[k] = rows[k][i]
		}
		_, _ = fmt.Fprintf(w, "%.2f\t", mean(column))
	}
	_, _ = fmt.Fprintln(w)
}

// csvRecord returns a line of the CSV file: the names that identify the run, followed by its values.
func csvRecord(decimals int, row []float64, names ...string) []string {
	for _, v := range row {
		names = append(names, strconv.FormatFloat(v, 'f', decimals, 64))
	}
	return names
}

func writeCSV(path string, records [][]string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the CSV file")
	}
	w := csv.NewWriter(f)
	err = w.WriteAll(records)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "write the CSV file")
}

func sortedJobIDs(jobs map[model.JobID]*simJob) []model.JobID { return slices.Sorted(maps.Keys(jobs)) }
