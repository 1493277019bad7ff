// Package budget decides which client connections get memory and a place when there is not enough for all of them. Its
// caller applies the decisions and reports when memory is free again.
package budget

import (
	"cmp"
	"slices"
	"time"
)

// ID identifies a connection.
type ID uint64

// Settings are the limits of a budget.
type Settings struct {
	// Total is the memory that all connections may take together, in bytes.
	Total int64
	// Kept is the part of Total, in bytes, that only connections take which hold at most Small bytes for their request, so
	// that small calls do not wait behind large bodies.
	Kept, Small int64
	// Connections is the largest number of connections, ConnectionBytes the memory that each takes from its opening on.
	Connections     int
	ConnectionBytes int64
}

// Decision is the answer to a request for memory or a place.
type Decision uint8

// Decisions.
const (
	// Refused means that there is no room and not enough to evict.
	Refused Decision = iota
	// Granted means that the room is taken.
	Granted
	// Waiting means that the room is taken once the evicted connections have given theirs back.
	Waiting
)

// Outcome is a decision and what the caller does about others.
type Outcome struct {
	Decision Decision
	// Evicted are the connections that the caller ends. Their waiting requests have failed.
	Evicted []ID
	// Granted are the connections whose waiting requests are granted now.
	Granted []ID
}

// Progress is what a connection does. Idle connections wait for a request. Busy ones wait for this VM: they are evicted only for
// a new connection, when all others are busy too, and end with their answer. Since is when the connection last made progress.
type Progress struct {
	Idle, Busy bool
	Since      time.Time
}

// rank orders connections by what they do; those with a lower rank are evicted first.
func (p Progress) rank() int {
	switch {
	case p.Idle:
		return 0
	case p.Busy:
		return 2
	default:
		return 1
	}
}

// Budget is the memory of the connections of one listener. Room that evicted connections give back goes to those that wait
// for it, in their order, but small requests and new connections take what is free without a wait. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	used     int64
	holders  map[ID]*holder
	// waiting are the requests that wait for evicted connections, the oldest first.
	waiting []request
}

type holder struct {
	bytes    int64
	progress Progress
	evicted  bool
}

// request asks for bytes, and for a place if it opens a connection.
type request struct {
	id    ID
	bytes int64
	open  bool
}

// New returns an empty budget.
func New(s Settings) *Budget { return &Budget{settings: s, holders: map[ID]*holder{}} }

// Used returns the bytes that are taken, which never exceed Settings.Total.
func (b *Budget) Used() int64 { return b.used }

// Connections returns the number of open connections, which never exceeds Settings.Connections.
func (b *Budget) Connections() int { return len(b.holders) }

// Observe records what a connection does. The caller refreshes all connections before a request for which Fits is false.
func (b *Budget) Observe(id ID, p Progress) {
	if h := b.holders[id]; h != nil {
		h.progress = p
	}
}

// Fits reports whether a request of n bytes of a connection, or the opening of a connection, is granted at once.
func (b *Budget) Fits(id ID, n int64) bool {
	if b.holders[id] == nil {
		return b.fitsNow(request{id: id, bytes: b.settings.ConnectionBytes, open: true})
	}
	return b.fitsNow(request{id: id, bytes: n})
}

// Open asks for a place for a new connection.
func (b *Budget) Open(id ID) Outcome {
	return b.decide(request{id: id, bytes: b.settings.ConnectionBytes, open: true}, nil)
}

// Take asks for n more bytes for a connection. It evicts only connections that hold more than their place and made their last
// progress before this one.
func (b *Budget) Take(id ID, n int64) Outcome {
	h := b.holders[id]
	if h == nil || h.evicted {
		return Outcome{}
	}
	return b.decide(request{id: id, bytes: n}, h)
}

func (b *Budget) decide(r request, taker *holder) Outcome {
	if b.fitsNow(r) {
		b.grant(r)
		return Outcome{Decision: Granted}
	}
	victims, ok := b.victims(r, taker)
	if !ok {
		return Outcome{}
	}
	for _, id := range victims {
		b.holders[id].evicted = true
		b.withdraw(id)
	}
	b.waiting = append(b.waiting, r)
	out := Outcome{Decision: Waiting, Evicted: victims, Granted: b.grantWaiting()}
	if i := slices.Index(out.Granted, r.id); i >= 0 {
		out.Decision, out.Granted = Granted, slices.Delete(out.Granted, i, i+1)
	}
	return out
}

// limit returns the bytes that may be taken once a request is granted.
func (b *Budget) limit(r request) int64 {
	if r.open {
		return b.settings.Total
	}
	if b.holders[r.id].bytes-b.settings.ConnectionBytes+r.bytes <= b.settings.Small {
		return b.settings.Total
	}
	return b.settings.Total - b.settings.Kept
}

func (b *Budget) fits(r request) bool {
	return b.used+r.bytes <= b.limit(r) && (!r.open || len(b.holders) < b.settings.Connections)
}

// fitsNow reports whether there is room for a request and none that waits goes before it.
func (b *Budget) fitsNow(r request) bool {
	return b.fits(r) && (b.limit(r) == b.settings.Total || len(b.waiting) == 0)
}

func (b *Budget) grant(r request) {
	b.used += r.bytes
	if r.open {
		b.holders[r.id] = &holder{bytes: r.bytes}
		return
	}
	b.holders[r.id].bytes += r.bytes
}

// victims returns the connections whose eviction makes room for a request and for those that wait already: idle ones
// first, then those without progress for the longest time, at last busy ones. ok is false if there are not enough of them.
func (b *Budget) victims(r request, taker *holder) (out []ID, ok bool) {
	limit := b.limit(r)
	missingBytes, missingPlaces := b.used+r.bytes, 0
	if r.open {
		missingPlaces = len(b.holders) + 1 - b.settings.Connections
	}
	for _, w := range b.waiting {
		limit = min(limit, b.limit(w))
		missingBytes += w.bytes
		if w.open {
			missingPlaces++
		}
	}
	missingBytes -= limit
	var candidates []ID
	for id, h := range b.holders {
		switch {
		case h.evicted:
			missingBytes -= h.bytes
			missingPlaces--
		case r.open || id != r.id && h.bytes > b.settings.ConnectionBytes && !h.progress.Busy && h.progress.Since.Before(taker.progress.Since):
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, func(x, y ID) int {
		p, q := b.holders[x].progress, b.holders[y].progress
		return cmp.Or(cmp.Compare(p.rank(), q.rank()), p.Since.Compare(q.Since), cmp.Compare(x, y))
	})
	for _, id := range candidates {
		if missingBytes <= 0 && missingPlaces <= 0 {
			break
		}
		out = append(out, id)
		missingBytes -= b.holders[id].bytes
		missingPlaces--
	}
	return out, missingBytes <= 0 && missingPlaces <= 0
}

// Release gives n bytes of a connection back. It returns the connections whose requests are granted now.
func (b *Budget) Release(id ID, n int64) []ID {
	h := b.holders[id]
	if h == nil {
		return nil
	}
	n = min(n, h.bytes)
	h.bytes -= n
	b.used -= n
	return b.grantWaiting()
}

// Close gives everything of a connection back. It returns the connections whose requests are granted now.
func (b *Budget) Close(id ID) []ID {
	b.withdraw(id)
	if h := b.holders[id]; h != nil {
		b.used -= h.bytes
		delete(b.holders, id)
	}
	return b.grantWaiting()
}

// Withdraw ends the waiting request of a connection. It returns the connections whose requests are granted now.
func (b *Budget) Withdraw(id ID) []ID {
	b.withdraw(id)
	return b.grantWaiting()
}

func (b *Budget) withdraw(id ID) {
	b.waiting = slices.DeleteFunc(b.waiting, func(r request) bool { return r.id == id })
}

// grantWaiting grants the requests that fit, the oldest first. One that does not fit holds back those of its kind, but not
// small ones and new connections behind it.
func (b *Budget) grantWaiting() (granted []ID) {
	held := map[int64]bool{}
	b.waiting = slices.DeleteFunc(b.waiting, func(r request) bool {
		kind := b.limit(r)
		if held[kind] || !b.fits(r) {
			held[kind] = true
			return false
		}
		b.grant(r)
		granted = append(granted, r.id)
		return true
	})
	return granted
}
