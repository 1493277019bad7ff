package load

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

const (
	// maxLatency is the upper bound of the histograms; longer latencies are recorded as this value.
	maxLatency = 2 * time.Minute
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
)

// ClassReport holds the counts and latency percentiles of one class of calls. Latencies are in microseconds and include
// those of failed calls.
type ClassReport struct {
	// Sent counts the calls that were made, including requests that got no ticket. Skipped counts those that were not
	// made because too many calls were in progress.
	Sent    int `json:"sent"`
	Skipped int `json:"skipped"`
	// Run, NotRun and Unknown count the calls by outcome. Unanswered counts the calls without a complete response.
	Run        int `json:"run"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"unanswered"`
	// Mismatched counts the responses that belong to another request, Repeated the responses to a request that had
	// one already.
	Mismatched int            `json:"mismatched"`
	Repeated   int            `json:"repeated"`
	Reasons    map[string]int `json:"reasons"`
	P50        int64          `json:"p50_us"`
	P90        int64          `json:"p90_us"`
	P99        int64          `json:"p99_us"`
	P999       int64          `json:"p999_us"`
	Max        int64          `json:"max_us"`

	latency  *hdrhistogram.Histogram
	answered map[string]bool
}

// Report holds the report of each class under its name.
type Report map[string]*ClassReport

func newReport() Report { return Report{ClassRequest: newClassReport(), ClassJob: newClassReport()} }

func newClassReport() *ClassReport {
	return &ClassReport{
		Reasons: make(map[string]int), answered: make(map[string]bool),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

func (r Report) add(res result) {
	c := r[res.class]
	if res.skipped {
		c.Skipped++
		return
	}
	c.Sent++
	_ = c.latency.RecordValue(min(max(1, res.latency.Microseconds()), maxLatency.Microseconds()))
	if res.reason != "" {
		c.Reasons[res.reason]++
	}
	switch res.outcome {
	case failure.Run:
		c.Run++
	case failure.NotRun:
		c.NotRun++
	case failure.Unknown:
		c.Unknown++
	default:
		c.Unanswered++
	}
	if res.mismatched {
		c.Mismatched++
	}
	if res.id != "" && res.outcome != "" {
		if c.answered[res.id] {
			c.Repeated++
		}
		c.answered[res.id] = true
	}
}

func (r Report) computePercentiles() Report {
	for _, c := range r {
		h := c.latency
		c.P50, c.P90, c.P99 = h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99)
		c.P999, c.Max = h.ValueAtQuantile(99.9), h.Max()
	}
	return r
}

// EachAnsweredOnce reports whether each call that was made got exactly one response, and the one that belongs to it.
func (r Report) EachAnsweredOnce() bool {
	for _, c := range r {
		if c.Unanswered > 0 || c.Mismatched > 0 || c.Repeated > 0 {
			return false
		}
	}
	return true
}

// Rows returns the report as a table with a header row; latencies are in microseconds.
func (r Report) Rows() [][]string {
	rows := [][]string{{
		"class", "sent", "skipped", "run", "not_run", "unknown", "unanswered", "mismatched", "repeated",
		"p50_us", "p90_us", "p99_us", "p999_us", "max_us",
	}}
	for _, name := range []string{ClassRequest, ClassJob} {
		c := r[name]
		row := []string{name}
		for _, n := range []int{c.Sent, c.Skipped, c.Run, c.NotRun, c.Unknown, c.Unanswered, c.Mismatched, c.Repeated} {
			row = append(row, strconv.Itoa(n))
		}
		for _, n := range []int64{c.P50, c.P90, c.P99, c.P999, c.Max} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		rows = append(rows, row)
	}
	return rows
}

// WriteCSV writes the table of Rows as CSV.
func (r Report) WriteCSV(w io.Writer) error { return csv.NewWriter(w).WriteAll(r.Rows()) }
