package config_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/config"
)

func init() { testseed.Fix("500") }

var domains = []model.FailureDomain{"a", "b", "c"}

// write is a change on its way to the store.
type write struct {
	doc  model.Config
	base uint64
}

// machine is a store, several VMs and operators that race one another.
type machine struct {
	now   time.Time
	views []config.View
	// entry and version are the store's document and its version.
	entry   model.Config
	version uint64
	// history lists the documents that took effect in the store, in order.
	history []model.Config
	// late lists writes that were sent and may still take effect.
	late []write
	// lost lists writes whose answer was lost.
	lost []write
	// outSince gives the time at which the current document took the failure domain out.
	outSince map[model.FailureDomain]time.Time
	nextID   int
}

func newMachine(vms int) *machine {
	return &machine{
		now: time.Unix(1000, 0), views: make([]config.View, vms),
		outSince: make(map[model.FailureDomain]time.Time),
	}
}

// apply is the store's compare-and-swap.
func (m *machine) apply(w write) bool {
	if w.base != m.version {
		return false
	}
	m.version++
	m.entry = w.doc
	m.history = append(m.history, w.doc)
	for _, d := range domains {
		_, out := m.outSince[d]
		switch {
		case w.doc.IsOut(d) && !out:
			m.outSince[d] = m.now
		case !w.doc.IsOut(d):
			delete(m.outSince, d)
		}
	}
	return true
}

func (m *machine) accepted(id string) bool {
	return slices.ContainsFunc(m.history, func(c model.Config) bool { return c.WriteID == id })
}

func change(t *rapid.T) message.ConfigChange {
	d := rapid.SampledFrom(domains).Draw(t, "domain")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return message.ConfigChange{TakeOut: d}
	case 1:
		return message.ConfigChange{BringIn: d}
	case 2:
		return message.ConfigChange{UsePreset: rapid.SampledFrom([]string{"ordinary", "peak", "missing"}).Draw(t, "preset")}
	default:
		name := rapid.SampledFrom([]string{"ordinary", "peak"}).Draw(t, "name")
		weight := rapid.IntRange(0, 2).Draw(t, "weight")
		return message.ConfigChange{PutPreset: &message.NamedPreset{Name: name, Preset: model.Preset{
			Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: weight}},
		}}}
	}
}

// propose is an operator's change through one VM, against the version that the VM shows.
func (m *machine) propose(t *rapid.T) {
	seen := m.views[m.vm(t)].Doc.Version
	m.nextID++
	next, fail := config.Propose(m.entry, seen, change(t), fmt.Sprint("w", m.nextID), domains)
	if fail != nil {
		if seen != m.entry.Version && fail.Reason != failure.ConfigConflict {
			t.Fatalf("a change against version %d of %d was refused as %s", seen, m.entry.Version, fail.Reason)
		}
		return
	}
	w := write{doc: next, base: m.version}
	switch rapid.IntRange(0, 3).Draw(t, "delivery") {
	case 0:
		m.apply(w)
	case 1:
		m.apply(w)
		m.lost = append(m.lost, w)
	case 2:
		m.lost = append(m.lost, w)
	default:
		m.lost = append(m.lost, w)
		m.late = append(m.late, w)
	}
}

func (m *machine) vm(t *rapid.T) int { return rapid.IntRange(0, len(m.views)-1).Draw(t, "vm") }

// actions are the steps that do not depend on the kind of test.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"propose": m.propose,
		"late write": func(t *rapid.T) {
			if len(m.late) == 0 {
				t.Skip("no late write")
			}
			m.apply(m.late[0])
			m.late = m.late[1:]
		},
		"resolve": func(t *rapid.T) {
			if len(m.lost) == 0 {
				t.Skip("no lost answer")
			}
			w := m.lost[0]
			m.lost = m.lost[1:]
			m.checkOutcome(t, w, config.Resolve(w.doc, m.entry))
		},
		"watch": func(t *rapid.T) {
			i := m.vm(t)
			m.views[i] = m.views[i].Learn(m.entry, m.now)
		},
		"pull": func(t *rapid.T) {
			to, from := m.vm(t), m.vm(t)
			m.views[to] = m.views[to].Learn(m.views[from].Doc, m.views[from].Confirmed)
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *machine) checkOutcome(t *rapid.T, w write, outcome config.WriteOutcome) {
	accepted := m.accepted(w.doc.WriteID)
	switch outcome {
	case config.Accepted:
		if !accepted {
			t.Fatalf("write %s resolved as accepted but never took effect", w.doc.WriteID)
		}
	case config.Rejected:
		m.late = slices.DeleteFunc(m.late, func(l write) bool {
			if l.doc.WriteID != w.doc.WriteID {
				return false
			}
			if m.apply(l) {
				t.Fatalf("write %s resolved as rejected but took effect later", w.doc.WriteID)
			}
			return true
		})
		if accepted {
			t.Fatalf("write %s resolved as rejected but took effect", w.doc.WriteID)
		}
	case config.Absent:
		if accepted {
			t.Fatalf("write %s resolved as absent but took effect", w.doc.WriteID)
		}
	}
}

// checkStarts guards promise P3: no VM permits a start in a failure domain that was taken out more than
// ValidFor ago.
func (m *machine) checkStarts(t *rapid.T) {
	for i, v := range m.views {
		for d, since := range m.outSince {
			if v.MayStart(d, m.now) && m.now.Sub(since) > config.ValidFor {
				t.Fatalf("VM %d permits starts in %s, out for %v", i, d, m.now.Sub(since))
			}
		}
	}
}

// TestDocument guards promises P3 and P9 under races, lost answers and late writes: accepted versions form
// one chain, every VM follows it forwards only, every resolved write is told truthfully, and a failure domain
// that is out permits no start after ValidFor.
func TestDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(1, 4).Draw(t, "vms"))
		before := make([]uint64, len(m.views))
		actions := m.actions()
		actions[""] = func(t *rapid.T) {
			for i, v := range m.views {
				if v.Doc.Version < before[i] {
					t.Fatalf("VM %d went back from version %d to %d", i, before[i], v.Doc.Version)
				}
				before[i] = v.Doc.Version
				if v.Doc.Version > 0 && m.history[v.Doc.Version-1].WriteID != v.Doc.WriteID {
					t.Fatalf("VM %d applies a document that was not accepted", i)
				}
			}
			for i, doc := range m.history {
				if doc.Version != uint64(i+1) || config.Validate(doc) != nil {
					t.Fatalf("accepted document %d is invalid or has version %d", i, doc.Version)
				}
			}
			m.checkStarts(t)
		}
		t.Repeat(actions)
	})
}

// TestStoreGoesBack guards promise P9 when the store comes back with an older document: no VM goes back, and
// the newest applied document returns to the store.
func TestStoreGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(1, 4).Draw(t, "vms"))
		before := make([]model.Config, len(m.views))
		actions := m.actions()
		delete(actions, "resolve")
		actions["go back"] = func(t *rapid.T) {
			if len(m.history) == 0 {
				t.Skip("empty store")
			}
			m.entry = m.history[rapid.IntRange(0, len(m.history)-1).Draw(t, "to")]
			m.version++
			m.late = nil
		}
		actions["repair"] = func(t *rapid.T) {
			if v := m.views[m.vm(t)]; config.Newer(v.Doc, m.entry) {
				m.entry = v.Doc
				m.version++
			}
		}
		actions[""] = func(t *rapid.T) {
			for i, v := range m.views {
				if config.Newer(before[i], v.Doc) {
					t.Fatalf("VM %d went back from %d/%s to %d/%s", i, before[i].Version, before[i].WriteID, v.Doc.Version, v.Doc.WriteID)
				}
				before[i] = v.Doc
			}
		}
		t.Repeat(actions)
		// After the last fault each VM repairs the store or learns from it, and all agree.
		for range 2 {
			for i, v := range m.views {
				if config.Newer(v.Doc, m.entry) {
					m.entry = v.Doc
				}
				m.views[i] = v.Learn(m.entry, m.now)
			}
		}
		for i, v := range m.views {
			if v.Doc.WriteID != m.entry.WriteID {
				t.Fatalf("VM %d applies %s, the store holds %s", i, v.Doc.WriteID, m.entry.WriteID)
			}
		}
	})
}
