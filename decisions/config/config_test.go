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

func init() { testseed.SetFlags("500") }

var domains = []model.FailureDomain{"a", "b", "c"}

// write is a compare-and-swap of the stored document against the version base.
type write struct {
	doc  model.Config
	base uint64
}

// simulation models a store, several VMs and operators whose changes race with one another.
type simulation struct {
	now   time.Time
	views []config.View
	// stored is the document in the store and version the version of its store entry.
	stored  model.Config
	version uint64
	// history lists all documents that were written to the store, in order.
	history []model.Config
	// delayedWrites lists writes that were sent and may still take effect.
	delayedWrites []write
	// unansweredWrites lists writes whose answer was lost and whose outcome has not been resolved yet.
	unansweredWrites []write
	// outSince is the time at which each failure domain was taken out of service in the store.
	outSince map[model.FailureDomain]time.Time
	nextID   int
}

func newSimulation(vms int) *simulation {
	return &simulation{
		now: time.Unix(1000, 0), views: make([]config.View, vms),
		outSince: make(map[model.FailureDomain]time.Time),
	}
}

// apply executes the compare-and-swap of a write and reports whether it took effect.
func (s *simulation) apply(w write) bool {
	if w.base != s.version {
		return false
	}
	s.version++
	s.stored = w.doc
	s.history = append(s.history, w.doc)
	for _, d := range domains {
		_, out := s.outSince[d]
		switch {
		case w.doc.IsOut(d) && !out:
			s.outSince[d] = s.now
		case !w.doc.IsOut(d):
			delete(s.outSince, d)
		}
	}
	return true
}

func (s *simulation) accepted(id string) bool {
	return slices.ContainsFunc(s.history, func(c model.Config) bool { return c.WriteID == id })
}

func drawChange(t *rapid.T) message.ConfigChange {
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

// propose makes an operator's change against the version that a random VM applies. The write may be lost or delayed,
// and its answer may be lost.
func (s *simulation) propose(t *rapid.T) {
	seen := s.views[s.drawVM(t)].Doc.Version
	s.nextID++
	next, fail := config.Propose(s.stored, seen, drawChange(t), fmt.Sprint("w", s.nextID), domains)
	if fail != nil {
		if seen != s.stored.Version && fail.Reason != failure.ConfigConflict {
			t.Fatalf("a change against version %d of %d was refused as %s", seen, s.stored.Version, fail.Reason)
		}
		return
	}
	w := write{doc: next, base: s.version}
	switch rapid.IntRange(0, 3).Draw(t, "delivery") {
	case 0:
		s.apply(w)
	case 1:
		s.apply(w)
		s.unansweredWrites = append(s.unansweredWrites, w)
	case 2:
		s.unansweredWrites = append(s.unansweredWrites, w)
	default:
		s.unansweredWrites = append(s.unansweredWrites, w)
		s.delayedWrites = append(s.delayedWrites, w)
	}
}

func (s *simulation) drawVM(t *rapid.T) int { return rapid.IntRange(0, len(s.views)-1).Draw(t, "vm") }

// actions returns the actions that all property tests share.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"propose": s.propose,
		"late write": func(t *rapid.T) {
			if len(s.delayedWrites) == 0 {
				t.Skip("no late write")
			}
			s.apply(s.delayedWrites[0])
			s.delayedWrites = s.delayedWrites[1:]
		},
		"resolve": func(t *rapid.T) {
			if len(s.unansweredWrites) == 0 {
				t.Skip("no lost answer")
			}
			w := s.unansweredWrites[0]
			s.unansweredWrites = s.unansweredWrites[1:]
			s.checkOutcome(t, w, config.Resolve(w.doc, s.stored))
		},
		"watch": func(t *rapid.T) {
			i := s.drawVM(t)
			s.views[i] = s.views[i].Learn(s.stored, s.now)
		},
		"pull": func(t *rapid.T) {
			to, from := s.drawVM(t), s.drawVM(t)
			s.views[to] = s.views[to].Learn(s.views[from].Doc, s.views[from].Confirmed)
		},
		"time": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (s *simulation) checkOutcome(t *rapid.T, w write, outcome config.WriteOutcome) {
	accepted := s.accepted(w.doc.WriteID)
	switch outcome {
	case config.Accepted:
		if !accepted {
			t.Fatalf("write %s resolved as accepted but never took effect", w.doc.WriteID)
		}
	case config.Rejected:
		s.delayedWrites = slices.DeleteFunc(s.delayedWrites, func(l write) bool {
			if l.doc.WriteID != w.doc.WriteID {
				return false
			}
			if s.apply(l) {
				t.Fatalf("write %s resolved as rejected but took effect later", w.doc.WriteID)
			}
			return true
		})
		if accepted {
			t.Fatalf("write %s resolved as rejected but took effect", w.doc.WriteID)
		}
	case config.Pending:
		if accepted {
			t.Fatalf("write %s resolved as absent but took effect", w.doc.WriteID)
		}
	}
}

// checkStarts checks promise P3: no VM permits a start in a failure domain that was taken out of service more than
// ValidFor ago.
func (s *simulation) checkStarts(t *rapid.T) {
	for i, v := range s.views {
		for d, since := range s.outSince {
			if v.MayStart(d, s.now) && s.now.Sub(since) > config.ValidFor {
				t.Fatalf("VM %d permits starts in %s, out for %v", i, d, s.now.Sub(since))
			}
		}
	}
}

// TestDocument guards promises P3 and P9 against concurrent changes, lost answers and delayed writes. It fails if the
// accepted versions do not form one chain, a VM returns to an older version, a write is resolved with the wrong
// outcome, or a task may start in a failure domain that has been out of service for longer than ValidFor.
func TestDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "vms"))
		before := make([]uint64, len(s.views))
		actions := s.actions()
		actions[""] = func(t *rapid.T) {
			for i, v := range s.views {
				if v.Doc.Version < before[i] {
					t.Fatalf("VM %d went back from version %d to %d", i, before[i], v.Doc.Version)
				}
				before[i] = v.Doc.Version
				if v.Doc.Version > 0 && s.history[v.Doc.Version-1].WriteID != v.Doc.WriteID {
					t.Fatalf("VM %d applies a document that was not accepted", i)
				}
			}
			for i, doc := range s.history {
				if doc.Version != uint64(i+1) || config.Validate(doc) != nil {
					t.Fatalf("accepted document %d is invalid or has version %d", i, doc.Version)
				}
			}
			s.checkStarts(t)
		}
		t.Repeat(actions)
	})
}

// TestStoreRollback guards promise P9 when the store is restored with an older document: no VM returns to an older
// document, and the newest applied document is written back to the store.
func TestStoreRollback(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "vms"))
		before := make([]model.Config, len(s.views))
		actions := s.actions()
		delete(actions, "resolve")
		actions["go back"] = func(t *rapid.T) {
			if len(s.history) == 0 {
				t.Skip("empty store")
			}
			s.stored = s.history[rapid.IntRange(0, len(s.history)-1).Draw(t, "to")]
			s.version++
			s.delayedWrites = nil
		}
		actions["repair"] = func(t *rapid.T) {
			if v := s.views[s.drawVM(t)]; config.Newer(v.Doc, s.stored) {
				s.stored = v.Doc
				s.version++
			}
		}
		actions[""] = func(t *rapid.T) {
			for i, v := range s.views {
				if config.Newer(before[i], v.Doc) {
					t.Fatalf("VM %d went back from %d/%s to %d/%s", i, before[i].Version, before[i].WriteID, v.Doc.Version, v.Doc.WriteID)
				}
				before[i] = v.Doc
			}
		}
		t.Repeat(actions)
		// After the last fault each VM repairs the store or learns from it, so that all converge on one document.
		for range 2 {
			for i, v := range s.views {
				if config.Newer(v.Doc, s.stored) {
					s.stored = v.Doc
				}
				s.views[i] = v.Learn(s.stored, s.now)
			}
		}
		for i, v := range s.views {
			if v.Doc.WriteID != s.stored.WriteID {
				t.Fatalf("VM %d applies %s, the store holds %s", i, v.Doc.WriteID, s.stored.WriteID)
			}
		}
	})
}
