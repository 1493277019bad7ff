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
	// maxLatency is the largest recorded latency; longer ones count as this.
	maxLatency = 2 * time.Minute
	// digits is the number of significant digits of the histograms.
	digits = 3
)

// Class is the result of one class of calls. Latencies are in microseconds and include refusals.
type Class struct {
	// Sent is the number of calls that were made, Skipped that of calls over the bound of calls in progress.
	Sent    int `json:"sent"`
	Skipped int `json:"skipped"`
	// Run, NotRun and Unknown count answers by outcome; Unanswered counts calls without a complete answer.
	Run        int `json:"run"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"unanswered"`
	// Mismatched counts answers to another request, Repeated requests that were answered twice.
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

// Report holds the classes by name.
type Report map[string]*Class

func newReport() Report { return Report{ClassRequest: newClass(), ClassJob: newClass()} }

func newClass() *Class {
	return &Class{
		Reasons: make(map[string]int), answered: make(map[string]bool),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
	}
}

func (r Report) add(x result) {
	c := r[x.class]
	if x.skipped {
		c.Skipped++
		return
	}
	c.Sent++
	_ = c.latency.RecordValue(min(max(1, x.latency.Microseconds()), maxLatency.Microseconds()))
	if x.reason != "" {
		c.Reasons[x.reason]++
	}
	switch x.outcome {
	case failure.Run:
		c.Run++
	case failure.NotRun:
		c.NotRun++
	case failure.Unknown:
		c.Unknown++
	default:
		c.Unanswered++
	}
	if x.mismatched {
		c.Mismatched++
	}
	if x.id != "" && x.outcome != "" {
		if c.answered[x.id] {
			c.Repeated++
		}
		c.answered[x.id] = true
	}
}

func (r Report) finish() Report {
	for _, c := range r {
		h := c.latency
		c.P50, c.P90, c.P99 = h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99)
		c.P999, c.Max = h.ValueAtQuantile(99.9), h.Max()
	}
	return r
}

// OnceEach reports whether each call that was made had exactly one answer, to itself.
func (r Report) OnceEach() bool {
	for _, c := range r {
		if c.Unanswered > 0 || c.Mismatched > 0 || c.Repeated > 0 {
			return false
		}
	}
	return true
}

// Rows returns the report as a table with a header; times are in microseconds.
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

// WriteCSV writes the rows as CSV.
func (r Report) WriteCSV(w io.Writer) error { return csv.NewWriter(w).WriteAll(r.Rows()) }
