package logging

import (
	"bytes"
	"expvar"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxWaitingLines and maxWaitingBytes bound the lines that wait for the reader of the output. A holder logs at most
	// 600 lines of about 300 bytes a second about runs, so that they take a pause of about 6 s.
	maxWaitingLines = 4096
	maxWaitingBytes = 1 << 20
	// maxWriteBytes is the size from which on a write takes no further line. A pipe takes writes of up to 4 KiB whole, so that
	// lines of processes that share a pipe seldom mix, and collectors that read a few kilobytes at a time cut no line.
	maxWriteBytes = 3 << 10
	// writeDelay is how long lines are collected for one write, which saves system calls. A line about an error, and a
	// buffer that is half full, are written at once.
	writeDelay = 50 * time.Millisecond
)

// severity is the class of a line by which lost lines are counted.
type severity int8

const (
	severityDebug severity = iota
	severityInfo
	severityWarning
	severityError
	severityCount
)

var severityNames = [severityCount]string{"debug", "info", "warning", "error"}

func severityOf(l slog.Level) severity {
	switch {
	case l < slog.LevelInfo:
		return severityDebug
	case l < slog.LevelWarn:
		return severityInfo
	case l < slog.LevelError:
		return severityWarning
	default:
		return severityError
	}
}

type line struct {
	severity severity
	text     []byte
}

// Output writes log lines to a file whose reader may be slow, stopped or gone. Loggers hand lines over without waiting;
// one task owns the file and writes. Lines that do not fit into a bounded buffer, or that the file does not take, are
// counted, and a line reports their number once the output has caught up.
type Output struct {
	file  io.Writer
	lines chan line
	// waitingBytes is the size of the lines that wait in the channel.
	waitingBytes atomic.Int64
	// full is set when a line did not fit. No line is taken until the waiting ones are written, so that the lost lines
	// form one gap.
	full          atomic.Bool
	lost, written [severityCount]atomic.Int64
	// wake ends the delay of the next write; closing asks the task to write the waiting lines and to end.
	wake, closing chan struct{}
	task          conc.WaitGroup
	done          chan struct{}

	// The fields below belong to the task. batch holds the lines of the next write and ends where each of them ends.
	batch []byte
	ends  []lineEnd
	// unfinished is set if the last write ended within a line.
	unfinished bool
	// reported holds the numbers of lost lines that were reported by a written line, reporting those that are reported by
	// a line of the batch.
	reported, reporting [severityCount]int64
	reportText          bytes.Buffer
	reporter            *slog.Logger
}

type lineEnd struct {
	severity severity
	// report is set for the line that reports lost lines.
	report bool
	offset int
}

// NewOutput returns an output to a file and starts its task. vm and service are the values of these keys in its own
// lines.
func NewOutput(file io.Writer, vm, service string) *Output {
	o := &Output{
		file: file, lines: make(chan line, maxWaitingLines), wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
	}
	o.reporter = slog.New(newHandler(func(slog.Level) io.Writer { return &o.reportText }, vm, service, 0))
	o.task.Go(o.run)
	return o
}

// severityWriter hands over the lines of one severity.
type severityWriter struct {
	output   *Output
	severity severity
}

// Write implements io.Writer. It never waits and always succeeds.
func (w severityWriter) Write(p []byte) (int, error) {
	w.output.add(line{w.severity, bytes.Clone(p)})
	return len(p), nil
}

// Print hands over text that is not a log line, such as the message of a process that cannot start.
func (o *Output) Print(text string) { o.add(line{severityError, []byte(text)}) }

func (o *Output) add(l line) {
	if o.full.Load() {
		o.lost[l.severity].Add(1)
		return
	}
	size := int64(len(l.text))
	if o.waitingBytes.Add(size) <= maxWaitingBytes {
		select {
		case o.lines <- l:
			if l.severity == severityError || len(o.lines) == maxWaitingLines/2 {
				o.wakeUp()
			}
			return
		default:
		}
	}
	o.waitingBytes.Add(-size)
	o.lost[l.severity].Add(1)
	o.full.Store(true)
	o.wakeUp()
}

// wakeUp ends the delay of the task.
func (o *Output) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Close writes the lines that wait, for at most timeout. If the file has not taken them by then, they are lost with the
// end of the process. Close must be called once.
func (o *Output) Close(timeout time.Duration) {
	close(o.closing)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-o.done:
		o.task.Wait()
	case <-t.C:
	}
}

func (o *Output) run() {
	defer close(o.done)
	for closing := false; ; {
		var first line
		if !closing {
			first, closing = o.await()
		}
		if len(o.lines) == 0 {
			// The lines that waited are written, so that further ones are taken again.
			o.full.Store(false)
		}
		o.fill(first)
		if len(o.ends) > 0 {
			o.write()
		} else if closing {
			return
		}
	}
}

// await waits until lines are to be written. It returns the first one if it has taken it, and whether the output closes.
func (o *Output) await() (first line, closing bool) {
	if o.full.Load() {
		return line{}, false
	}
	select {
	case first = <-o.lines:
	case <-o.wake:
		return line{}, false
	case <-o.closing:
		return line{}, true
	}
	if first.severity == severityError {
		return first, false
	}
	t := time.NewTimer(writeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.wake:
	case <-o.closing:
		closing = true
	}
	return first, closing
}

// fill collects the lines of the next write: the report of lost lines, unless older lines still wait, and the waiting
// lines.
func (o *Output) fill(first line) {
	o.batch, o.ends = o.batch[:0], o.ends[:0]
	if o.unfinished {
		o.batch = append(o.batch, '\n')
	}
	if !o.full.Load() {
		o.fillReport()
	}
	if first.text != nil {
		o.take(first)
	}
	for len(o.batch) < maxWriteBytes {
		select {
		case l := <-o.lines:
			o.take(l)
		default:
			return
		}
	}
}

func (o *Output) take(l line) {
	o.waitingBytes.Add(-int64(len(l.text)))
	o.batch = append(o.batch, l.text...)
	o.ends = append(o.ends, lineEnd{severity: l.severity, offset: len(o.batch)})
}

// fillReport adds a line about the lines that were lost since the last report, if there are any.
func (o *Output) fillReport() {
	total := int64(0)
	var counts []any
	for i := range o.lost {
		o.reporting[i] = o.lost[i].Load()
		n := o.reporting[i] - o.reported[i]
		total += n
		counts = append(counts, severityNames[i], n)
	}
	if total == 0 {
		return
	}
	o.reportText.Reset()
	o.reporter.Warn("log lines lost", append(counts, "lines", total)...)
	o.batch = append(o.batch, o.reportText.Bytes()...)
	o.ends = append(o.ends, lineEnd{severity: severityWarning, report: true, offset: len(o.batch)})
}

// write writes the batch. Lines that the file does not take, for example because its reader is gone, are lost.
func (o *Output) write() {
	n, _ := o.file.Write(o.batch)
	for _, e := range o.ends {
		switch {
		case e.offset > n && !e.report:
			o.lost[e.severity].Add(1)
		case e.offset <= n && e.report:
			o.reported = o.reporting
			fallthrough
		case e.offset <= n:
			o.written[e.severity].Add(1)
		}
	}
	if n > 0 {
		o.unfinished = o.batch[n-1] != '\n'
	}
	if cap(o.batch) > 2*maxWriteBytes {
		o.batch = nil
	}
}

// Var returns the numbers of written and lost lines by severity, and the size of the lines that wait.
func (o *Output) Var() expvar.Var {
	count := func(counts *[severityCount]atomic.Int64) map[string]int64 {
		out := map[string]int64{}
		for i := range counts {
			out[severityNames[i]] = counts[i].Load()
		}
		return out
	}
	return expvar.Func(func() any {
		return map[string]any{"written": count(&o.written), "lost": count(&o.lost), "waiting_bytes": o.waitingBytes.Load()}
	})
}
