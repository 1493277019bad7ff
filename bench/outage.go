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
	// confirmedFor is the time after the last confirmation of the configuration in which tasks start.
	confirmedFor = 2 * time.Second
	// affectedFor is the time from the start of an outage in which submitted jobs count as affected. It is
	// the same for all durations, so that they are compared over the same jobs.
	affectedFor = 2 * time.Hour
)

// outages are the measured durations of a store outage.
var outages = []time.Duration{0, time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour}

// outage is a time without starts.
type outage struct {
	begin, end time.Time
	// affected holds the completion times, in seconds, of the jobs submitted within affectedFor of begin.
	affected []float64
}

var outageHeader = []string{
	"scenario", "load", "outage_min", "seed", "completion_h_mean", "completion_h_p95",
	"affected_h_mean", "affected_h_p95", "affected_jobs", "unfinished",
}

// RunOutage measures in virtual time what store outages cost in completion time, over equal jobs and faults.
// Jobs that arrive in an outage wait for its end, and their completion time counts from their arrival.
// It prints means over seeds 1 to 3 to w and writes one line per run to csvPath, unless it is empty. It
// returns an error of writing.
func RunOutage(w io.Writer, csvPath string) error {
	return runOutages(w, csvPath, scenarios, []float64{0.7, 0.95}, []uint64{1, 2, 3})
}

func runOutages(w io.Writer, csvPath string, ss []scenario, loads []float64, seeds []uint64) error {
	records := [][]string{outageHeader}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for _, h := range append(outageHeader[:3:3], outageHeader[4:]...) {
		_, _ = fmt.Fprintf(table, "%s\t", h)
	}
	_, _ = fmt.Fprintln(table)
	for _, s := range ss {
		for _, load := range loads {
			for _, d := range outages {
				var rows [][]float64
				for _, seed := range seeds {
					row := runOutage(s, load, d, seed)
					rows = append(rows, row)
					records = append(records, record(4, row, s.name, fmt.Sprint(load), fmt.Sprint(d.Minutes()), fmt.Sprint(seed)))
				}
				printRow(table, fmt.Sprintf("%s\t%.2f\t%.0f", s.name, load, d.Minutes()), rows)
			}
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return writeCSV(csvPath, records)
}

func runOutage(s scenario, load float64, d time.Duration, seed uint64) []float64 {
	const hour = 3600
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	l := newLoop(s, start, rand.New(rand.NewPCG(seed, 0)), load, func(i int) planner {
		pl := withOptions(plan.Options{})(domainName(i))
		pl.SetPolicy(s.policy(false))
		return pl
	})
	l.addOutage(start.Add(s.span*3/5), d)
	m := l.simulate()
	return []float64{
		mean(m.completion) / hour, percentile(m.completion, 95) / hour,
		mean(l.outage.affected) / hour, percentile(l.outage.affected, 95) / hour,
		float64(len(l.outage.affected)), float64(m.unfinished),
	}
}

// addOutage stops all starts from confirmedFor after begin until d after begin.
func (l *loop) addOutage(begin time.Time, d time.Duration) {
	l.outage = outage{begin: begin, end: begin.Add(d)}
	l.at(l.outage.end, func(l *loop) {
		for i := range l.touched {
			l.touched[i] = true
		}
	})
}

// blocked reports whether an outage prevents starts now.
func (l *loop) blocked() bool {
	return !l.now.Before(l.outage.begin.Add(confirmedFor)) && l.now.Before(l.outage.end)
}

// observe counts the completion of an affected job.
func (o *outage) observe(submitted, now time.Time) {
	if !submitted.Before(o.begin) && submitted.Before(o.begin.Add(affectedFor)) {
		o.affected = append(o.affected, now.Sub(submitted).Seconds())
	}
}
