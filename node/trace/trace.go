// Package trace collects the log lines of many VMs that concern one job, in order of time.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log file. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Line is a log line.
type Line struct {
	// Time is when the event happened. It can be earlier than the time at which the line was written.
	Time                 time.Time
	VM, Service, Message string
	// Fields holds the other fields of the line.
	Fields map[string]any
}

// String returns the line with its fields in alphabetical order.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.VM, l.Service, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

// termMessages are the messages that tell which VM was the holder.
var termMessages = []string{"elected as holder", "holder term ended"}

// Collector collects the lines about one job.
type Collector struct {
	id    string
	lines []Line
	terms []Line
}

// NewCollector returns a collector of the lines about the job with the given identifier.
func NewCollector(id string) *Collector { return &Collector{id: id} }

// Read adds the lines of a log. Text before the first brace of a line, and lines that are not JSON, are ignored. Its
// error is that of the reader.
func (c *Collector) Read(r io.Reader) error {
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := b.ReadSlice('\n')
		if err == nil || err == io.EOF {
			c.add(text)
		}
		switch err {
		case nil, bufio.ErrBufferFull:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

func (c *Collector) add(text []byte) {
	_, object, found := strings.Cut(string(text), "{")
	if !found {
		return
	}
	isTerm := slices.ContainsFunc(termMessages, func(m string) bool { return strings.Contains(object, m) })
	if !isTerm && !strings.Contains(object, c.id) {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte("{"+object), &fields) != nil {
		return
	}
	switch l := newLine(fields); {
	case c.concerns(fields):
		c.lines = append(c.lines, l)
	case isTerm:
		c.terms = append(c.terms, l)
	}
}

// newLine takes the common fields of a log line out of its fields.
func newLine(fields map[string]any) Line {
	take := func(key string) string {
		s, _ := fields[key].(string)
		delete(fields, key)
		return s
	}
	written, at := take("time"), take("at")
	l := Line{VM: take("vm"), Service: take("service"), Message: take("msg"), Fields: fields}
	// A time that cannot be parsed is the zero time, which sorts first.
	l.Time, _ = time.Parse(time.RFC3339Nano, cmp.Or(at, written))
	delete(fields, "level")
	return l
}

// concerns reports whether a field names the job or one of its tasks.
func (c *Collector) concerns(fields map[string]any) bool {
	for _, v := range fields {
		if s, ok := v.(string); ok && (s == c.id || strings.HasPrefix(s, c.id+".")) {
			return true
		}
	}
	return false
}

// Lines returns the lines about the job, and between the first and the last of them those about changes of the holder,
// in order of time.
func (c *Collector) Lines() []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	out := slices.Clone(c.lines)
	slices.SortStableFunc(out, byTime)
	if len(out) == 0 {
		return nil
	}
	first, last := out[0].Time, out[len(out)-1].Time
	for _, l := range c.terms {
		if !l.Time.Before(first) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}
