// Package routing compares policies for the selection of executors and measures the latency that group commit adds to a
// request, both in virtual time.
package routing

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/decisions/route"
)

const (
	// requestsPerRun is the number of requests of one routing run, intentsPerRun the number of intents of one commit
	// run.
	requestsPerRun = 40_000
	intentsPerRun  = 20_000
	// runsPerRow is the number of routing runs, with different seeds, whose mean is one row of the table.
	runsPerRow = 3
)

var scenarios = []scenario{
	{name: "healthy"},
	{name: "5 of 50 are 5 times slower", faultyExecutors: 5, slowdown: 5},
	{name: "5 of 50 fail every attempt", faultyExecutors: 5, failureShare: 1},
	{name: "5 of 50 fail 30%", faultyExecutors: 5, slowdown: 1, failureShare: 0.3},
	{name: "5 of 50 do not answer", faultyExecutors: 5, silentShare: 1},
}

var policies = []struct {
	name      string
	newPolicy func(*rand.Rand) route.Policy
}{
	{"least loaded", func(*rand.Rand) route.Policy { return route.LeastLoaded }},
	{"least expected time", func(*rand.Rand) route.Policy { return route.LeastExpectedTime }},
	{"two random choices", route.TwoChoices},
}

var loads = []float64{0.5, 0.8}

// percentileMillis returns the p-th percentile of sorted values in milliseconds, or NaN if there are none.
func percentileMillis(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return float64(sorted[max(0, i)].Microseconds()) / 1000
}

// RunRouting prints a table of the selection policies and a table of group commit to w, and writes the rows of both to
// a CSV file, unless csvPath is empty. It returns an error if a write fails.
func RunRouting(w io.Writer, csvPath string) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	var rows [][]string
	add := func(cells ...string) {
		rows = append(rows, cells)
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	add("scenario", "load", "policy", "p50_ms", "p99_ms", "retries_percent", "unanswered_percent")
	for _, s := range scenarios {
		for _, load := range loads {
			for _, p := range policies {
				add(append([]string{s.name, fmt.Sprint(load), p.name}, measurePolicy(s, p.newPolicy, load, requestsPerRun)...)...)
			}
		}
	}
	add("journal", "store_ms", "intents_per_second", "p50_ms", "p99_ms", "appends_per_second", "intents_per_append")
	for _, meanStoreTime := range []time.Duration{3 * time.Millisecond, 100 * time.Millisecond} {
		for _, rate := range []float64{100, 1000, 5000} {
			add(append([]string{"group commit"}, measureGroupCommit(meanStoreTime, rate, intentsPerRun)...)...)
			add(append([]string{"one per append"}, measureGroupCommit(meanStoreTime, rate, 1)...)...)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return writeCSV(csvPath, rows)
}

func measurePolicy(s scenario, newPolicy func(*rand.Rand) route.Policy, load float64, n int) []string {
	var p50, p99, retries, unanswered float64
	for seed := range uint64(runsPerRow) {
		sim := newSimulation(s, newPolicy, seed)
		sim.simulate(n, load)
		p50 += percentileMillis(sim.latencies, 50) / runsPerRow
		p99 += percentileMillis(sim.latencies, 99) / runsPerRow
		retries += 100 * float64(sim.retries) / float64(sim.sent) / runsPerRow
		unanswered += 100 * float64(sim.unanswered) / float64(sim.sent) / runsPerRow
	}
	return []string{fmt.Sprintf("%.1f", p50), fmt.Sprintf("%.1f", p99), fmt.Sprintf("%.2f", retries), fmt.Sprintf("%.3f", unanswered)}
}

func measureGroupCommit(meanStoreTime time.Duration, rate float64, maxBatch int) []string {
	sim := simulateGroupCommit(intentsPerRun, rate, meanStoreTime, maxBatch, 1)
	seconds := sim.now.Sub(time.Time{}).Seconds()
	return []string{
		fmt.Sprint(meanStoreTime.Milliseconds()), fmt.Sprint(rate),
		fmt.Sprintf("%.1f", percentileMillis(sim.latencies, 50)), fmt.Sprintf("%.1f", percentileMillis(sim.latencies, 99)),
		fmt.Sprintf("%.0f", float64(sim.appends)/seconds), fmt.Sprintf("%.1f", float64(len(sim.latencies))/float64(sim.appends)),
	}
}

func writeCSV(path string, rows [][]string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the CSV file")
	}
	defer f.Close()
	return errors.Wrap(csv.NewWriter(f).WriteAll(rows), "write the CSV file")
}
