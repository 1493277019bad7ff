package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	seen  map[string]bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{begin: time.Now(), file: f, seen: map[string]bool{}}, err
}

// add writes a line with the seconds since the start of the script.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// once writes a line unless it was called with the same name before.
func (r *recorder) once(name, format string, args ...any) {
	r.mu.Lock()
	seen := r.seen[name]
	r.seen[name] = true
	r.mu.Unlock()
	if !seen {
		r.add(format, args...)
	}
}

// at returns a time as the seconds that record.txt shows.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.begin).Seconds()) }
