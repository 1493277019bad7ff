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
func (c checked) Check(s model.JobSpec) bool { return c.Planner.Check(s) == nil }

func withOptions(o plan.Options) func(model.FailureDomain) planner {
	return func(d model.FailureDomain) planner { return checked{plan.NewWith(d, o)} }
}

var policies = []policy{
	{name: "baseline fifo first-fit", make: func(model.FailureDomain) planner { return plan.NewBaseline() }},
	{name: "fair best-fit", make: withOptions(plan.Options{})},
	{name: "fair best-fit moves", defragment: true, make: withOptions(plan.Options{})},
	{name: "fifo best-fit", make: withOptions(plan.Options{Queue: plan.FIFO})},
	{name: "fair first-fit", make: withOptions(plan.Options{Placement: plan.FirstFit})},
	{name: "fair best-fit by submission", make: withOptions(plan.Options{NoRunTimes: true})},
	{name: "fair best-fit by submission, moves", defragment: true, make: withOptions(plan.Options{NoRunTimes: true})},
	{name: "fair best-fit no-reservation", make: withOptions(plan.Options{NoReservation: true})},
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
	records := [][]string{header}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for _, s := range chosen {
		for _, load := range o.Loads {
			_, _ = fmt.Fprintf(table, "\n%s, load %.2f, seeds %v\n", s.name, load, o.Seeds)
			_, _ = fmt.Fprint(table, "policy\t")
			for _, h := range header[4:] {
				_, _ = fmt.Fprintf(table, "%s\t", h)
			}
			_, _ = fmt.Fprintln(table)
			for _, p := range policies {
				rows := o.run(s, load, p)
				for i, row := range rows {
					records = append(records, record(s, load, p, o.Seeds[i], row))
				}
				printRow(table, p.name, rows)
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
	if len(o.Scenarios) == 0 {
		return scenarios, nil
	}
	var out []scenario
	for _, name := range o.Scenarios {
		i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })
		if i < 0 {
			return nil, errors.Newf("unknown scenario %q", name)
		}
		out = append(out, scenarios[i])
	}
	return out, nil
}

// run returns one row per seed.
func (o *PolicyOptions) run(s scenario, load float64, p policy) [][]float64 {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var rows [][]float64
	for _, seed := range o.Seeds {
		l := newLoop(s, start, rand.New(rand.NewPCG(seed, 0)), load, func(d int) planner {
			pl := p.make(domainName(d))
			pl.SetPolicy(s.policy(p.defragment))
			return pl
		})
		rows = append(rows, l.simulate().row(s))
	}
	return rows
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

func record(s scenario, load float64, p policy, seed uint64, row []float64) []string {
	out := []string{s.name, fmt.Sprint(load), p.name, strconv.FormatUint(seed, 10)}
	for _, v := range row {
		out = append(out, strconv.FormatFloat(v, 'f', 3, 64))
	}
	return out
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
