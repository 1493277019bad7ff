package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

func init() { testseed.SetFlags("100") }

const (
	// maxDelay is the maximum delay of a digest that is not a duplicate.
	maxDelay = time.Second
	// maxDuplicateAge is the maximum age of a duplicate on arrival.
	maxDuplicateAge = 40 * time.Second
	// convergenceTime is the time without faults after which all views must be correct.
	convergenceTime = 16 * time.Second
)

// TestMembership guards against a dead VM that delayed, repeated or relayed updates keep or make alive, a live VM
// that is not found again after blocked links, lost digests and replacements, a record that is older than the last
// one of the VM, records that are sent repeatedly, and a view that follows the VM list instead of the heartbeats.
func TestMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3, 3, maxDelay, rapid.Uint64().Draw(t, "seed"))
		vm := func() model.VMID { return rapid.SampledFrom(s.ids).Draw(t, "vm") }
		epoch := uint64(0)
		s.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tick) },
			"stop":    func(*rapid.T) { s.stop(vm()) },
			"replace": func(t *rapid.T) {
				id := vm()
				s.stop(id)
				s.start(id, time.Duration(rapid.IntRange(0, 3600_000).Draw(t, "clock lag"))*time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				a, b := vm(), vm()
				s.blocked[[2]model.VMID{a, b}] = true
				if rapid.Bool().Draw(t, "both") {
					s.blocked[[2]model.VMID{b, a}] = true
				}
			},
			"heal": func(*rapid.T) { clear(s.blocked) },
			"repeat": func(t *rapid.T) {
				for range 20 {
					i := rapid.IntRange(max(0, len(s.delivered)-400), len(s.delivered)-1).Draw(t, "packet")
					age := s.now.Sub(s.delivered[i].arrival)
					s.redeliver(i, time.Duration(rapid.IntRange(0, max(0, int((maxDuplicateAge-age)/time.Second))).Draw(t, "after"))*time.Second)
				}
			},
			"hold": func(t *rapid.T) {
				id := vm()
				if s.nodes[id].running {
					epoch++
					s.setHolder(s.nodes[id].table.Self().Domain, id, epoch)
				}
			},
			"change": func(*rapid.T) {
				if id := vm(); s.nodes[id].running {
					s.change(id, func(m *model.Member) { m.ConfigVersion++; m.Leaving = !m.Leaving })
				}
			},
			"list": func(t *rapid.T) {
				if id := vm(); s.nodes[id].running {
					s.applyList(id, func() bool { return rapid.Bool().Draw(t, "shown") })
				}
			},
			"settle": func(t *rapid.T) {
				clear(s.blocked)
				for _, id := range s.ids {
					s.applyList(id, func() bool { return true })
				}
				s.advance(convergenceTime)
				// The deaths that were detected last are still being relayed.
				s.advance(2 * member.InterDomainInterval)
				first := len(s.delivered)
				s.advance(2 * member.InterDomainInterval)
				if n := s.countRecords(first); n > 0 {
					t.Fatalf("%d records were sent to VMs that already have them", n)
				}
				for _, id := range s.ids {
					if problems := s.viewErrors(id); len(problems) > 0 {
						t.Fatalf("after %s without a fault: %v", convergenceTime, problems)
					}
				}
			},
			"": func(t *rapid.T) {
				// Updates of another failure domain pass through two VMs.
				if problems := s.staleAlive(member.IntraDomainTimeout+maxDelay+2*tick, member.InterDomainTimeout+3*(maxDelay+tick)+tick); len(problems) > 0 {
					t.Fatalf("%v", problems)
				}
				if problems := s.listingErrors(); len(problems) > 0 {
					t.Fatalf("%v", problems)
				}
			},
		})
	})
}
