package trace

import (
	"strings"
	"testing"
)

const vm1Log = `starting up
  -3.1 vm1 {"time":"2026-12-05T10:00:01Z","level":"INFO","msg":"job accepted","vm":"vm1","service":"intake","job":"00ab","took_ms":5}
{"time":"2026-12-05T10:00:02Z","level":"INFO","msg":"job accepted","vm":"vm1","service":"intake","job":"00abcd"}
{"time":"2026-12-05T10:00:09Z","level":"INFO","msg":"elected as holder","vm":"vm1","service":"holder","term":3}
{"time":"2026-12-05T10:00:03Z","msg":"cut off","job":"00ab"
`

const vm2Log = `{"time":"2026-12-05T10:00:03.5Z","level":"INFO","msg":"task start ordered","vm":"vm2","service":"holder","at":"2026-12-05T10:00:03Z","job":"00ab","run":7}
{"time":"2026-12-05T10:00:03.1Z","level":"INFO","msg":"elected as holder","vm":"vm2","service":"holder","term":2}
{"time":"2026-12-05T10:00:04Z","level":"INFO","msg":"other","vm":"vm2","service":"holder","task":"00ab.0.0.1"}
{"time":"2026-12-05T10:00:05Z","level":"INFO","msg":"not this","vm":"vm2","service":"holder","text":"about 00ab"}
`

// TestLines guards against a history of a job that lacks lines, has lines of other jobs or is not in order of time.
func TestLines(t *testing.T) {
	c := NewCollector("00ab")
	for _, log := range []string{vm2Log, vm1Log, strings.Repeat("x", 2*maxLineBytes)} {
		if err := c.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for _, l := range c.Lines() {
		got = append(got, l.String())
	}
	want := []string{
		"10:00:01.000 vm1 intake: job accepted job=00ab took_ms=5",
		"10:00:03.000 vm2 holder: task start ordered job=00ab run=7",
		"10:00:03.100 vm2 holder: elected as holder term=2",
		"10:00:04.000 vm2 holder: other task=00ab.0.0.1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if l := NewCollector("none").Lines(); l != nil {
		t.Errorf("%v for an unknown job", l)
	}
}

// FuzzRead guards against log files that cause a panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(vm1Log))
	f.Add([]byte(`{"time":5,"vm":[],"msg":"00ab","at":{}}`))
	f.Fuzz(func(t *testing.T, log []byte) {
		c := NewCollector("00ab")
		if err := c.Read(strings.NewReader(string(log))); err != nil {
			t.Error(err)
		}
		for _, l := range c.Lines() {
			_ = l.String()
		}
	})
}
