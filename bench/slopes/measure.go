// Package slopes measures what the services cost per worker, task, job and entry VM on this machine, so that
// the cost at another size can be worked out.
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

// Table is the result of one part. Each row has one value per column; the first Keys columns identify it.
type Table struct {
	Title   string
	Columns []string
	Keys    int
	Rows    [][]float64
}

// add appends a row.
func (t *Table) add(values ...float64) { t.Rows = append(t.Rows, values) }

// Line is a straight line through measured points.
type Line struct{ Slope, Intercept float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the line with the least sum of squared differences; a flat line if all x are equal.
func Fit(xs, ys []float64) Line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Intercept: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Slope: slope, Intercept: (sy - slope*sx) / n}
}

// median combines the runs of one part value by value.
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

// print writes the table and, for each value column, the line over the first column among rows that share the
// other key columns.
func (t Table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "\n%s\n", t.Title)
	for _, c := range t.Columns {
		_, _ = fmt.Fprintf(tw, "%s\t", c)
	}
	_, _ = fmt.Fprintln(tw)
	for _, row := range t.Rows {
		for _, v := range row {
			_, _ = fmt.Fprintf(tw, "%s\t", number(v))
		}
		_, _ = fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	for _, g := range t.groups() {
		for k := t.Keys; k < len(t.Columns); k++ {
			l := Fit(column(g, 0), column(g, k))
			_, _ = fmt.Fprintf(w, "  %s%s = %.4g + %.4g * %s\n", t.label(g[0]), t.Columns[k], l.Intercept, l.Slope, t.Columns[0])
		}
	}
	return nil
}

// groups returns the rows that differ in the first key only, where at least two exist.
func (t Table) groups() [][][]float64 {
	var out [][][]float64
	for _, row := range t.Rows {
		i := slices.IndexFunc(out, func(g [][]float64) bool { return slices.Equal(g[0][1:t.Keys], row[1:t.Keys]) })
		if i < 0 {
			out = append(out, nil)
			i = len(out) - 1
		}
		out[i] = append(out[i], row)
	}
	return slices.DeleteFunc(out, func(g [][]float64) bool { return len(g) < 2 })
}

func (t Table) label(row []float64) string {
	s := ""
	for k := 1; k < t.Keys; k++ {
		s += fmt.Sprintf("[%s %s] ", t.Columns[k], number(row[k]))
	}
	return s
}

func column(rows [][]float64, k int) []float64 {
	var out []float64
	for _, r := range rows {
		out = append(out, r[k])
	}
	return out
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// round keeps three decimals.
func round(v float64) float64 {
	r, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 3, 64), 64)
	return r
}

// writeCSV writes one line per value: title, run, keys, column and value.
func (t Table) writeCSV(w *csv.Writer, run int) error {
	for _, row := range t.Rows {
		key := ""
		for k := range t.Keys {
			key += fmt.Sprintf("%s=%s ", t.Columns[k], number(row[k]))
		}
		for k := t.Keys; k < len(row); k++ {
			if err := w.Write([]string{t.Title, strconv.Itoa(run), key, t.Columns[k], number(row[k])}); err != nil {
				return errors.Wrap(err, "write the CSV file")
			}
		}
	}
	return nil
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapKB returns the live heap and the memory that the process obtained for the heap and for stacks, in KB.
func heapKB() (live, stacks float64) {
	var m runtime.MemStats
	// A second collection also frees what pools kept through the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1000, float64(m.StackInuse) / 1000
}

// traffic counts bytes that a listener's connections received and sent.
type traffic struct{ in, out atomic.Int64 }

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
