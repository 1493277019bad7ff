// Package routing measures in virtual time how executors are chosen and what group commit costs a request.
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
	// requests is the number of requests of one run, intents that of one run of the journal.
	requests = 40_000
	intents  = 20_000
	// seeds is the number of runs, of which the table gives the mean.
	seeds = 3
)

var scenarios = []scenario{
	{name: "healthy"},
	{name: "5 of 50 are 5 times slower", faulty: 5, slower: 5},
	{name: "5 of 50 fail every attempt", faulty: 5, fails: 1},
	{name: "5 of 50 fail 30%", faulty: 5, slower: 1, fails: 0.3},
	{name: "5 of 50 do not answer", faulty: 5, silent: 1},
}

var policies = []struct {
	name string
	make func(*rand.Rand) route.Policy
}{
	{"least loaded", func(*rand.Rand) route.Policy { return route.LeastLoaded }},
	{"least expected time", func(*rand.Rand) route.Policy { return route.LeastExpectedTime }},
	{"two random choices", route.TwoChoices},
}

var loads = []float64{0.5, 0.8}

// percentile returns the p-th percentile of sorted values in milliseconds; NaN if there are none.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return float64(sorted[max(0, i)].Microseconds()) / 1000
}

// RunRouting prints a table of the choice policies and one of group commit to w, and writes the rows of both
// to a CSV file if csvPath is not empty. It returns an error of writing.
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
				add(append([]string{s.name, fmt.Sprint(load), p.name}, measure(s, p.make, load, requests)...)...)
			}
		}
	}
	add("journal", "store_ms", "intents_per_second", "p50_ms", "p99_ms", "appends_per_second", "intents_per_append")
	for _, store := range []time.Duration{3 * time.Millisecond, 100 * time.Millisecond} {
		for _, rate := range []float64{100, 1000, 5000} {
			add(append([]string{"group commit"}, measureCommit(store, rate, intents)...)...)
			add(append([]string{"one per append"}, measureCommit(store, rate, 1)...)...)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return writeCSV(csvPath, rows)
}

func measure(s scenario, policy func(*rand.Rand) route.Policy, load float64, n int) []string {
	var p50, p99, retries, lost float64
	for seed := range uint64(seeds) {
		m := newSim(s, policy, seed)
		m.simulate(n, load)
		p50 += percentile(m.took, 50) / seeds
		p99 += percentile(m.took, 99) / seeds
		retries += 100 * float64(m.retries) / float64(m.sent) / seeds
		lost += 100 * float64(m.lost) / float64(m.sent) / seeds
	}
	return []string{fmt.Sprintf("%.1f", p50), fmt.Sprintf("%.1f", p99), fmt.Sprintf("%.2f", retries), fmt.Sprintf("%.3f", lost)}
}

func measureCommit(store time.Duration, rate float64, limit int) []string {
	m := simulateCommit(intents, rate, store, limit, 1)
	seconds := m.now.Sub(time.Time{}).Seconds()
	return []string{
		fmt.Sprint(store.Milliseconds()), fmt.Sprint(rate),
		fmt.Sprintf("%.1f", percentile(m.took, 50)), fmt.Sprintf("%.1f", percentile(m.took, 99)),
		fmt.Sprintf("%.0f", float64(m.appends)/seconds), fmt.Sprintf("%.1f", float64(len(m.took))/float64(m.appends)),
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
