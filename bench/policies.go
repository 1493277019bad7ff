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

// PolicyOptions select the runs of RunPolicies.
type PolicyOptions struct {
	// Scenarios names the sizes: today, large-7 and large-1; empty means all.
	Scenarios []string
	// Seeds are the seeds of the drawn jobs; empty means 1, 2 and 3.
	Seeds []uint64
	// Loads are the offered loads as parts of the capacity; empty means 0.7 and 0.95.
	Loads []float64
}

// policy is a named way to plan.
type policy struct {
	name       string
	defragment bool
	make       func(model.FailureDomain) planner
}

// checked adapts the planner's check to the loop.
type checked struct{ *plan.Planner }

// Check reports whether a job is accepted.
func (c checked) Check(s model.JobSpec) bool { return c.Planner.CheckAdmission(s) == nil }

func withOptions(o plan.Options) func(model.FailureDomain) planner {
	return func(d model.FailureDomain) planner { return checked{plan.NewWithOptions(d, o)} }
}

var policies = []policy{
	{name: "baseline fifo first-fit", make: func(model.FailureDomain) planner { return plan.NewBaseline() }},
	{name: "fair best-fit", make: withOptions(plan.Options{})},
	{name: "fair best-fit moves", defragment: true, make: withOptions(plan.Options{})},
	{name: "fifo best-fit", make: withOptions(plan.Options{Queue: plan.FIFO})},
	{name: "fair first-fit", make: withOptions(plan.Options{Placement: plan.FirstFit})},
	{name: "fair best-fit by submission", make: withOptions(plan.Options{IgnoreRunTimes: true})},
	{name: "fair best-fit by submission, moves", defragment: true, make: withOptions(plan.Options{IgnoreRunTimes: true})},
	{name: "fair best-fit no-reservation", make: withOptions(plan.Options{DisableReservation: true})},
}

// measures are the results of one run; times are in seconds.
type measures struct {
	rounds      []time.Duration
	completion  []float64
	largeWaits  []float64
	urgentWaits []float64
	// urgentLate counts the urgent jobs that waited longer than urgentBound.
	urgentLate int
	// lightWaits are the waits of the accounts with the fewest jobs.
	lightWaits []float64
	probeWaits []float64
	reclaims   []float64
	windowWork float64
	// lostWork is the work in GPU seconds of jobs that were stopped without a checkpoint.
	lostWork    float64
	freeTime    float64
	stuckTime   float64
	refusedTime float64
	preempts    int
	moves       int
	refused     int
	unfinished  int
}

var header = []string{
	"scenario", "load", "policy", "seed", "round_ms_median", "round_ms_p95", "completion_h_mean", "completion_h_p95",
	"stuck_share", "refused_jobs_mean", "large_wait_h_mean", "large_wait_h_p95", "light_wait_h_mean", "urgent_wait_s_p95", "urgent_late", "urgent_ended",
	"guarantee_wait_s_mean", "guarantee_wait_s_p95", "reclaim_s_p95", "window_gpu_h", "lost_gpu_h", "preempts", "moves", "refused", "unfinished", "ended",
}

// row returns the figures in the order of the header. Stuck share is the part of free accelerator time during
// which a waiting job needs no more accelerators than are free; refused jobs is the mean number of those jobs.
func (m measures) row(s scenario) []float64 {
	const hour = 3600
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	stuck := 0.0
	if m.freeTime > 0 {
		stuck = m.stuckTime / m.freeTime
	}
	return []float64{
		ms(percentile(m.rounds, 50)), ms(percentile(m.rounds, 95)),
		mean(m.completion) / hour, percentile(m.completion, 95) / hour,
		stuck, m.refusedTime / s.span.Seconds(),
		mean(m.largeWaits) / hour, percentile(m.largeWaits, 95) / hour, mean(m.lightWaits) / hour, percentile(m.urgentWaits, 95), float64(m.urgentLate), float64(len(m.urgentWaits)),
		mean(m.probeWaits), percentile(m.probeWaits, 95), percentile(m.reclaims, 95),
		m.windowWork / hour, m.lostWork / hour, float64(m.preempts), float64(m.moves), float64(m.refused), float64(m.unfinished), float64(len(m.completion)),
	}
}

// RunPolicies drives each policy in virtual time over the same jobs and faults, prints a table of means over
// the seeds to w and writes one line per run to csvPath, unless it is empty. It returns an error of writing
// or of an unknown scenario.
func RunPolicies(o PolicyOptions, w io.Writer, csvPath string) error {
	chosen, err := o.complete()
	if err != nil {
		return err
	}
	c := comparison{header: header, decimals: 3, loads: o.Loads, seeds: o.Seeds}
	for _, s := range chosen {
		c.sizes = append(c.sizes, s.name)
	}
	for _, p := range policies {
		c.cases = append(c.cases, p.name)
	}
	return c.print(w, csvPath, func(size, i int, load float64, seed uint64) []float64 {
		return runPolicy(chosen[size], load, policies[i], seed)
	})
}

// comparison drives cases over sizes, loads and seeds. The header begins with the names of these four.
type comparison struct {
	header       []string
	decimals     int
	sizes, cases []string
	loads        []float64
	seeds        []uint64
}

// print writes a table of means over the seeds to w, and one line per run to csvPath unless that is empty.
func (c comparison) print(w io.Writer, csvPath string, run func(size, i int, load float64, seed uint64) []float64) error {
	records := [][]string{c.header}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for size, sizeName := range c.sizes {
		for _, load := range c.loads {
			_, _ = fmt.Fprintf(table, "\n%s, load %.2f, seeds %v\n%s\t", sizeName, load, c.seeds, c.header[2])
			for _, h := range c.header[4:] {
				_, _ = fmt.Fprintf(table, "%s\t", h)
			}
			_, _ = fmt.Fprintln(table)
			for i, name := range c.cases {
				var rows [][]float64
				for _, seed := range c.seeds {
					row := run(size, i, load, seed)
					rows = append(rows, row)
					records = append(records, record(c.decimals, row, sizeName, fmt.Sprint(load), name, fmt.Sprint(seed)))
				}
				printRow(table, name, rows)
			}
			if err := table.Flush(); err != nil {
				return errors.Wrap(err, "write the table")
			}
		}
	}
	return writeCSV(csvPath, records)
}

func (o *PolicyOptions) complete() ([]scenario, error) {
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3}
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.7, 0.95}
	}
	return selected(scenarios, o.Scenarios, "scenario", func(s scenario) string { return s.name })
}

// selected returns the values with the given names, all if there are no names. kind says what is named.
func selected[T any](all []T, names []string, kind string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(v T) bool { return name(v) == n })
		if i < 0 {
			return nil, errors.Newf("unknown %s %q", kind, n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// runPolicy returns the figures of one run in the order of the header.
func runPolicy(s scenario, load float64, p policy, seed uint64) []float64 {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	l := newLoop(s, start, rand.New(rand.NewPCG(seed, 0)), load, func(d int) planner {
		pl := p.make(domainName(d))
		pl.SetPolicy(s.policy(p.defragment))
		return pl
	})
	return l.simulate().row(s)
}

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

// record returns a line of the CSV file: the names of the run and its figures.
func record(decimals int, row []float64, names ...string) []string {
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

func sortedKeys(m map[model.JobID]*simJob) []model.JobID { return slices.Sorted(maps.Keys(m)) }
