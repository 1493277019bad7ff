// Package expiry decides which entries of the store have been kept for long enough.
package expiry

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a version of an entry of the store.
type Entry struct {
	Key      string
	Revision int64
	// since is when this version became known.
	since time.Time
}

// Set holds the known entries. The zero value is empty.
type Set struct{ entries map[string]Entry }

// Observe adds a version of an entry. The age of a known version is left unchanged.
func (s *Set) Observe(now time.Time, key string, revision int64) {
	if e, known := s.entries[key]; known && e.Revision == revision {
		return
	}
	if s.entries == nil {
		s.entries = map[string]Entry{}
	}
	s.entries[key] = Entry{Key: key, Revision: revision, since: now}
}

// Remove applies the removal of an entry.
func (s *Set) Remove(key string) { delete(s.entries, key) }

// Retain removes all entries except those with the given keys.
func (s *Set) Retain(keys map[string]bool) {
	for key := range s.entries {
		if !keys[key] {
			delete(s.entries, key)
		}
	}
}

// Expired returns at most limit entries that have been known for longer than age, the oldest first. They stay in the set
// until their removal is applied.
func (s *Set) Expired(now time.Time, age time.Duration, limit int) []Entry {
	var out []Entry
	for _, e := range s.entries {
		if now.Sub(e.since) > age {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.Key, b.Key)) })
	return out[:min(limit, len(out))]
}
