package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// closeTimeout bounds the end of outputs whose file takes all lines. It only ends a test that hangs.
const closeTimeout = 30 * time.Second

// gate is a file whose writes wait until it is opened, and that then takes what a function says.
type gate struct {
	open   chan struct{}
	accept func(p []byte) int
	text   bytes.Buffer
	writes int
}

var errGate = errors.New("reader is gone")

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.writes++
	n := len(p)
	if g.accept != nil {
		n = g.accept(p)
	}
	g.text.Write(p[:n])
	if n < len(p) {
		return n, errGate
	}
	return n, nil
}

func newGate(accept func(p []byte) int) *gate {
	return &gate{open: make(chan struct{}), accept: accept}
}

func newLogger(o *Output) *slog.Logger {
	return slog.New(newHandler(func(l slog.Level) io.Writer { return severityWriter{o, severityOf(l)} }, "v", "s", 0))
}

// lossReports returns the numbers of lost lines that the lines of a text report, and the number of other lines.
func lossReports(t *testing.T, text string) (reports []map[string]int64, others int) {
	t.Helper()
	for l := range strings.Lines(text) {
		var fields struct {
			Msg                                string
			Lines, Debug, Info, Warning, Error int64
		}
		if err := json.Unmarshal([]byte(l), &fields); err != nil {
			t.Fatalf("%q: %v", l, err)
		}
		if fields.Msg != "log lines lost" {
			others++
			continue
		}
		reports = append(reports, map[string]int64{"lines": fields.Lines, "info": fields.Info, "warning": fields.Warning, "error": fields.Error})
	}
	return reports, others
}

// TestStoppedReader guards against loggers that wait for a reader, memory that grows while it reads nothing, and lost
// lines that are not counted by severity or are reported in more than one line.
func TestStoppedReader(t *testing.T) {
	g := newGate(nil)
	o := NewOutput(g, "v", "s")
	log := newLogger(o)
	const infos, errorLines = 100_000, 100
	padding := strings.Repeat("x", 100)
	for i := range infos {
		log.Info("decision", "padding", padding)
		if i%(infos/errorLines) == 0 {
			log.Error("failure")
		}
	}
	if n := o.waitingBytes.Load(); n > maxWaitingBytes || len(o.lines) > maxWaitingLines {
		t.Errorf("%d bytes in %d lines wait", n, len(o.lines))
	}
	close(g.open)
	o.Close(closeTimeout)
	reports, others := lossReports(t, g.text.String())
	if len(reports) != 1 {
		t.Fatalf("%d reports of lost lines, want 1", len(reports))
	}
	r := reports[0]
	if r["lines"]+int64(others) != infos+errorLines || r["info"]+r["error"] != r["lines"] || r["error"] == 0 {
		t.Errorf("%d lines written, lost: %v", others, r)
	}
	if o.lost[severityInfo].Load() != r["info"] || o.lost[severityError].Load() != r["error"] {
		t.Errorf("counters differ from the report: %s", o.Var())
	}
}

// TestReaderReturns guards against an output that stays silent after its reader was gone, against torn lines that are
// joined with the next, and against a lost line that is not counted.
func TestReaderReturns(t *testing.T) {
	// The file does not take the first line, takes the begin of the write with the second one, and then everything. A
	// write may hold a report alone.
	calls, torn := 0, false
	g := newGate(func(p []byte) int {
		if bytes.Contains(p, []byte("failure")) {
			calls++
		}
		switch {
		case calls > 2:
			return len(p)
		case calls == 2 && !torn:
			torn = true
			return 10
		}
		return 0
	})
	close(g.open)
	o := NewOutput(g, "v", "s")
	log := newLogger(o)
	written := func() int64 {
		n := int64(0)
		for i := range o.written {
			n += o.written[i].Load() + o.lost[i].Load()
		}
		return n
	}
	for i := range 4 {
		log.Error("failure")
		// A line that is handed over while another is written would share its batch.
		for end := time.Now().Add(closeTimeout); written() < int64(i+1) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	o.Close(closeTimeout)
	text := g.text.String()
	begin, rest, ok := strings.Cut(text, "\n")
	if !ok || len(begin) != 10 {
		t.Fatalf("no torn line: %q", text)
	}
	reports, others := lossReports(t, rest)
	if len(reports) != 1 || reports[0]["error"] != 2 || others != 2 {
		t.Errorf("reports %v and %d lines, want 2 lost and 2 written", reports, others)
	}
}

// TestLinesShareWrites guards against a system call for each line, and against lines that are lost at the end of the
// process.
func TestLinesShareWrites(t *testing.T) {
	g := newGate(nil)
	close(g.open)
	o := NewOutput(g, "v", "s")
	log := newLogger(o)
	for range 1000 {
		log.Info("decision")
	}
	o.Close(closeTimeout)
	if _, others := lossReports(t, g.text.String()); others != 1000 {
		t.Errorf("%d lines written, want 1000", others)
	}
	if g.writes > 100 {
		t.Errorf("%d writes of 1000 lines", g.writes)
	}
}

// TestCloseIsBounded guards against a process that does not end because its output is not read.
func TestCloseIsBounded(t *testing.T) {
	g := newGate(nil)
	o := NewOutput(g, "v", "s")
	newLogger(o).Info("decision")
	began := time.Now()
	o.Close(50 * time.Millisecond)
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("Close took %v", took)
	}
	close(g.open)
	<-o.done
}

// TestOversizedLine guards against an output that takes no lines any more after one that is larger than its buffer.
func TestOversizedLine(t *testing.T) {
	g := newGate(nil)
	close(g.open)
	o := NewOutput(g, "v", "s")
	log := newLogger(o)
	log.Info("decision", "padding", strings.Repeat("x", maxWaitingBytes))
	for end := time.Now().Add(closeTimeout); o.full.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	log.Info("decision")
	o.Close(closeTimeout)
	reports, others := lossReports(t, g.text.String())
	if len(reports) != 1 || reports[0]["info"] != 1 || others != 1 {
		t.Errorf("reports %v and %d lines, want one lost and one written", reports, others)
	}
}
