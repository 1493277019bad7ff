package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

const (
	// confirmationTTL is the time after the last confirmation of the configuration during which tasks may start.
	confirmationTTL = 2 * time.Second
	// affectedPeriod is the time from the start of an outage during which submitted jobs count as affected. It does not
	// depend on the duration of the outage, so that all durations are compared over the same jobs.
	affectedPeriod = 2 * time.Hour
)

// outageDurations are the durations of store outages that are compared. 0 is the baseline without an outage.
var outageDurations = []time.Duration{0, time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour}

// storeOutage is an outage of the store. No task starts from confirmationTTL after begin until end.
type storeOutage struct {
	begin, end time.Time
	// affectedCompletionTimes holds the completion times, in seconds, of the jobs that were submitted within
	// affectedPeriod after begin.
	affectedCompletionTimes []float64
}

var outageHeader = []string{
	"scenario", "load", "outage_min", "seed", "completion_h_mean", "completion_h_p95",
	"affected_h_mean", "affected_h_p95", "affected_jobs", "unfinished",
}

// RunStoreOutages measures in virtual time by how much store outages increase the completion time of jobs, with the
// same jobs and faults for each duration. Jobs that arrive during an outage wait for its end, and their completion time
// counts from their arrival. RunStoreOutages prints means over the seeds 1 to 3 to w and writes one line per run to
// csvPath, unless csvPath is empty. It returns an error if a write fails.
func RunStoreOutages(w io.Writer, csvPath string) error {
	return runOutages(w, csvPath, scenarios, []float64{0.7, 0.95}, []uint64{1, 2, 3})
}

func runOutages(w io.Writer, csvPath string, chosenScenarios []scenario, loads []float64, seeds []uint64) error {
	records := [][]string{outageHeader}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for _, h := range append(outageHeader[:3:3], outageHeader[4:]...) {
		_, _ = fmt.Fprintf(table, "%s\t", h)
	}
	_, _ = fmt.Fprintln(table)
	for _, s := range chosenScenarios {
		for _, load := range loads {
			for _, duration := range outageDurations {
				var rows [][]float64
				for _, seed := range seeds {
					row := runOutage(s, load, duration, seed)
					rows = append(rows, row)
					records = append(records, csvRecord(4, row, s.name, fmt.Sprint(load), fmt.Sprint(duration.Minutes()), fmt.Sprint(seed)))
				}
				printRow(table, fmt.Sprintf("%s\t%.2f\t%.0f", s.name, load, duration.Minutes()), rows)
			}
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return writeCSV(csvPath, records)
}

// runOutage simulates one run and returns its values in the order of outageHeader, after the seed.
func runOutage(s scenario, load float64, duration time.Duration, seed uint64) []float64 {
	const hour = 3600
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := newSimulation(s, start, rand.New(rand.NewPCG(seed, 0)), load, func(i int) planner {
		p := plannerFactory(plan.Options{})(domainName(i))
		p.SetPolicy(s.preset(false))
		return p
	})
	sim.addStoreOutage(start.Add(s.arrivalSpan*3/5), duration)
	results := sim.simulate()
	return []float64{
		mean(results.completionTimes) / hour, percentile(results.completionTimes, 95) / hour,
		mean(sim.storeOutage.affectedCompletionTimes) / hour, percentile(sim.storeOutage.affectedCompletionTimes, 95) / hour,
		float64(len(sim.storeOutage.affectedCompletionTimes)), float64(results.unfinished),
	}
}

// addStoreOutage adds a store outage and schedules a round of each failure domain at its end.
func (sim *simulation) addStoreOutage(begin time.Time, duration time.Duration) {
	sim.storeOutage = storeOutage{begin: begin, end: begin.Add(duration)}
	sim.scheduleAt(sim.storeOutage.end, func(sim *simulation) {
		for i := range sim.needsRound {
			sim.needsRound[i] = true
		}
	})
}

// startsBlocked reports whether the store outage currently prevents starts.
func (sim *simulation) startsBlocked() bool {
	return !sim.now.Before(sim.storeOutage.begin.Add(confirmationTTL)) && sim.now.Before(sim.storeOutage.end)
}

// recordCompletion records the completion time of a job if the outage affected it.
func (o *storeOutage) recordCompletion(submitted, now time.Time) {
	if !submitted.Before(o.begin) && submitted.Before(o.begin.Add(affectedPeriod)) {
		o.affectedCompletionTimes = append(o.affectedCompletionTimes, now.Sub(submitted).Seconds())
	}
}
