package budget

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testSettings = Settings{Total: 1000, Kept: 200, Small: 100, Connections: 8, ConnectionBytes: 20}

// model is the oracle: what each connection was granted and has not given back, and what it waits for.
type model struct {
	t        *rapid.T
	b        *Budget
	now      time.Time
	held     map[ID]int64
	waiting  map[ID]int64
	evicted  map[ID]bool
	progress map[ID]Progress
	next     ID
}

func (m *model) apply(id ID, n int64, o Outcome, opens bool) {
	d, victims := o.Decision, o.Evicted
	for _, v := range victims {
		if v == id || m.evicted[v] || m.progress[v].Busy && !opens {
			m.t.Fatalf("connection %d evicts %d, which it must not", id, v)
		}
		m.evicted[v] = true
		delete(m.waiting, v)
	}
	switch d {
	case Granted:
		m.held[id] += n
	case Waiting:
		m.waiting[id] = n
	case Refused:
		if len(victims) > 0 {
			m.t.Fatalf("a refused request evicts %v", victims)
		}
		if opens {
			delete(m.progress, id)
		}
	}
	m.granted(o.Granted)
}

func (m *model) granted(ids []ID) {
	for _, id := range ids {
		n, ok := m.waiting[id]
		if !ok {
			m.t.Fatalf("connection %d is granted what it does not wait for", id)
		}
		delete(m.waiting, id)
		m.held[id] += n
	}
}

func (m *model) check(*rapid.T) {
	sum := int64(0)
	for _, n := range m.held {
		sum += n
	}
	if sum != m.b.Used() || sum > testSettings.Total {
		m.t.Fatalf("%d bytes held, %d counted, of %d", sum, m.b.Used(), testSettings.Total)
	}
	if len(m.held) != m.b.Connections() || len(m.held) > testSettings.Connections {
		m.t.Fatalf("%d connections, %d counted, of %d", len(m.held), m.b.Connections(), testSettings.Connections)
	}
	if len(m.waiting) != len(m.b.waiting) || len(m.waiting) > 0 && m.b.fits(m.b.waiting[0]) {
		m.t.Fatalf("%v wait although there is room for the first of %v", m.waiting, m.b.waiting)
	}
	// Once the evicted connections are gone, only requests wait that small ones have overtaken.
	if len(m.waiting) > 0 && len(m.evicted) == 0 && sum <= testSettings.Total-testSettings.Kept-m.waiting[m.b.waiting[0].id] {
		m.t.Fatalf("%v wait although no evicted connection holds room", m.waiting)
	}
}

// some returns a connection that is open and not evicted.
func (m *model) some() ID {
	var ids []ID
	for id := range m.held {
		if !m.evicted[id] && m.waiting[id] == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		m.t.Skip("no connection")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(m.t, "id")
}

func (m *model) tick() time.Time { m.now = m.now.Add(time.Millisecond); return m.now }

// TestBudget guards against connections that together take more than the budget or more places than there are, against
// the eviction of a connection that waits for this VM for the sake of a body, and against a request that waits for room that nobody gives back.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			b: New(testSettings), now: time.Unix(0, 0), held: map[ID]int64{}, waiting: map[ID]int64{},
			evicted: map[ID]bool{}, progress: map[ID]Progress{},
		}
		bind := func(f func()) func(*rapid.T) { return func(t *rapid.T) { m.t = t; f() } }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { m.t = t; m.check(t) },
			"open": bind(func() {
				m.next++
				m.progress[m.next] = Progress{Since: m.tick()}
				m.apply(m.next, testSettings.ConnectionBytes, m.b.Open(m.next), true)
				m.b.Observe(m.next, m.progress[m.next])
			}),
			"take": bind(func() {
				id, n := m.some(), rapid.Int64Range(1, 700).Draw(m.t, "bytes")
				m.progress[id] = Progress{Since: m.tick()}
				m.b.Observe(id, m.progress[id])
				room, fits := m.b.fits(request{id: id, bytes: n}), m.b.Fits(id, n)
				o := m.b.Take(id, n)
				if d := o.Decision; d == Granted && !room || d != Granted && room && len(m.waiting) == 0 {
					m.t.Fatalf("room is %v for a request that is answered with %d", room, d)
				}
				// The progress of the others is refreshed only if the request does not fit.
				if fits && (o.Decision != Granted || len(o.Evicted) > 0) {
					m.t.Fatalf("a request that fits is answered with %+v", o)
				}
				m.apply(id, n, o, false)
			}),
			"change": bind(func() {
				id := m.some()
				p := Progress{Since: m.tick()}
				switch rapid.IntRange(0, 2).Draw(m.t, "phase") {
				case 0:
					p.Idle = true
				case 1:
					p.Busy = true
				}
				m.progress[id] = p
				m.b.Observe(id, p)
			}),
			"release": bind(func() {
				id := m.some()
				n := rapid.Int64Range(0, m.held[id]-testSettings.ConnectionBytes).Draw(m.t, "bytes")
				m.held[id] -= n
				m.granted(m.b.Release(id, n))
			}),
			"withdraw": bind(func() {
				ids := slices.Sorted(maps.Keys(m.waiting))
				if len(ids) == 0 {
					m.t.Skip("nothing waits")
				}
				id := rapid.SampledFrom(ids).Draw(m.t, "id")
				delete(m.waiting, id)
				m.granted(m.b.Withdraw(id))
			}),
			"close": bind(func() {
				ids := slices.Sorted(maps.Keys(m.held))
				if len(ids) == 0 {
					m.t.Skip("no connection")
				}
				id := rapid.SampledFrom(ids).Draw(m.t, "id")
				delete(m.held, id)
				delete(m.waiting, id)
				delete(m.evicted, id)
				m.granted(m.b.Close(id))
			}),
		})
	})
}

// TestRequestAmongStalled guards against a request that fits into the budget but gets no room, because connections that
// stand still hold it: whatever they hold, the request opens a connection, takes its room and is never the victim.
func TestRequestAmongStalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(testSettings), time.Unix(0, 0)
		end := func(victims []ID) {
			for _, v := range victims {
				b.Close(v)
			}
		}
		for id := ID(1); id <= ID(rapid.IntRange(0, 30).Draw(t, "stalled")); id++ {
			now = now.Add(time.Millisecond)
			o := b.Open(id)
			if o.Decision == Refused {
				t.Fatalf("connection %d is refused although others stand still", id)
			}
			end(o.Evicted)
			b.Observe(id, Progress{Since: now})
			for range rapid.IntRange(0, 4).Draw(t, "pieces") {
				end(b.Take(id, rapid.Int64Range(1, 300).Draw(t, "bytes")).Evicted)
			}
		}
		// The places of the others are not taken away for a body.
		own, need := ID(1000), testSettings.Total-testSettings.Kept-int64(testSettings.Connections)*testSettings.ConnectionBytes
		now = now.Add(time.Millisecond)
		o := b.Open(own)
		end(o.Evicted)
		for taken := int64(0); o.Decision != Refused && taken < need; taken += need / 8 {
			now = now.Add(time.Millisecond)
			b.Observe(own, Progress{Since: now})
			if o = b.Take(own, need/8); slices.Contains(o.Evicted, own) {
				t.Fatal("the request is its own victim")
			}
			end(o.Evicted)
		}
		if o.Decision == Refused || b.holders[own] == nil || b.holders[own].bytes != testSettings.ConnectionBytes+need {
			t.Fatalf("the request got %+v, decision %d", b.holders[own], o.Decision)
		}
	})
}

// TestKeptPart guards against small calls that wait behind large bodies in progress, which are not evicted.
func TestKeptPart(t *testing.T) {
	b := New(testSettings)
	for id := ID(1); id <= 2; id++ {
		b.Open(id)
		b.Observe(id, Progress{Busy: true})
	}
	if o := b.Take(1, 750); o.Decision != Granted {
		t.Fatalf("large body: %+v", o)
	}
	if o := b.Take(2, 150); o.Decision != Refused {
		t.Errorf("a second large body: %+v, want a refusal", o)
	}
	if o := b.Take(2, 100); o.Decision != Granted {
		t.Errorf("a small call: %+v, want a grant", o)
	}
}
