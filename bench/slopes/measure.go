// Package slopes measures the resource usage and latency of the services on this machine at several numbers of workers,
// tasks, jobs and entry VMs, and fits lines through the results, so that values at other sizes can be extrapolated.
package slopes

import (
	"encoding/csv"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Table is the result of one part. Each row has one value per column. The first KeyColumns columns identify the row.
type Table struct {
	Title      string
	Columns    []string
	KeyColumns int
	Rows       [][]float64
}

// add appends a row.
func (t *Table) add(values ...float64) { t.Rows = append(t.Rows, values) }

// Line is a linear fit.
type Line struct{ Slope, Intercept float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line through the points, or the horizontal line at the mean of ys if all xs are equal.
func Fit(xs, ys []float64) Line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Line{Intercept: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / denominator
	return Line{Slope: slope, Intercept: (sy - slope*sx) / n}
}

// median returns the table of the medians of each value over the runs of one part.
func median(runs []Table) Table {
	out := runs[0]
	out.Rows = nil
	for i := range runs[0].Rows {
		var row []float64
		for k := range runs[0].Columns {
			var values []float64
			for _, r := range runs {
				values = append(values, r.Rows[i][k])
			}
			slices.Sort(values)
			row = append(row, (values[(len(values)-1)/2]+values[len(values)/2])/2)
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// print writes the table. For each group of rows that differ in the first key column only, it also writes the linear
// fit of each value column over that key.
func (t Table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "\n%s\n", t.Title)
	for _, c := range t.Columns {
		_, _ = fmt.Fprintf(tw, "%s\t", c)
	}
	_, _ = fmt.Fprintln(tw)
	for _, row := range t.Rows {
		for _, v := range row {
			_, _ = fmt.Fprintf(tw, "%s\t", formatNumber(v))
		}
		_, _ = fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	for _, g := range t.groups() {
		for k := t.KeyColumns; k < len(t.Columns); k++ {
			l := Fit(columnValues(g, 0), columnValues(g, k))
			_, _ = fmt.Fprintf(w, "  %s%s = %.4g + %.4g * %s\n", t.keyLabel(g[0]), t.Columns[k], l.Intercept, l.Slope, t.Columns[0])
		}
	}
	return nil
}

// groups returns the groups of at least two rows that differ in the first key column only.
func (t Table) groups() [][][]float64 {
	var out [][][]float64
	for _, row := range t.Rows {
		i := slices.IndexFunc(out, func(g [][]float64) bool { return slices.Equal(g[0][1:t.KeyColumns], row[1:t.KeyColumns]) })
		if i < 0 {
			out = append(out, nil)
			i = len(out) - 1
		}
		out[i] = append(out[i], row)
	}
	return slices.DeleteFunc(out, func(g [][]float64) bool { return len(g) < 2 })
}

// keyLabel describes the group of a row by all key columns but the first.
func (t Table) keyLabel(row []float64) string {
	s := ""
	for k := 1; k < t.KeyColumns; k++ {
		s += fmt.Sprintf("[%s %s] ", t.Columns[k], formatNumber(row[k]))
	}
	return s
}

func columnValues(rows [][]float64, k int) []float64 {
	var out []float64
	for _, r := range rows {
		out = append(out, r[k])
	}
	return out
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// round rounds to three decimals.
func round(v float64) float64 {
	r, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 3, 64), 64)
	return r
}

// writeCSV writes one record per value: title, run, key columns, value column and value.
func (t Table) writeCSV(w *csv.Writer, run int) error {
	for _, row := range t.Rows {
		key := ""
		for k := range t.KeyColumns {
			key += fmt.Sprintf("%s=%s ", t.Columns[k], formatNumber(row[k]))
		}
		for k := t.KeyColumns; k < len(row); k++ {
			if err := w.Write([]string{t.Title, strconv.Itoa(run), key, t.Columns[k], formatNumber(row[k])}); err != nil {
				return errors.Wrap(err, "write the CSV file")
			}
		}
	}
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryKB returns the size of the live heap and of the stack memory in use, in units of 1000 bytes.
func memoryKB() (heap, stack float64) {
	var m runtime.MemStats
	// Objects in a sync.Pool survive one garbage collection; the second one frees them.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1000, float64(m.StackInuse) / 1000
}

// trafficCounter counts the bytes received and sent by the connections of a listener.
type trafficCounter struct{ received, sent atomic.Int64 }

func (t *trafficCounter) total() int64 { return t.received.Load() + t.sent.Load() }

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *trafficCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// countingConn counts the traffic of one connection.
type countingConn struct {
	net.Conn
	traffic *trafficCounter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
