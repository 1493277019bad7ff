package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

func init() { testseed.Fix("100") }

const (
	// slowest bounds the delay of a digest that is delivered once.
	slowest = time.Second
	// oldest is the age of the oldest duplicate.
	oldest = 40 * time.Second
	// quiet is the time without faults after which all views are right.
	quiet = 16 * time.Second
)

// TestWorld guards against a dead VM that delayed, repeated or quoted updates keep alive or revive, against a live VM
// that is not seen again after cuts, losses and replacements, against records older than the VM's last, and against
// records that are sent again and again, and against a view that follows the list instead of the heartbeats.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 3, slowest, rapid.Uint64().Draw(t, "seed"))
		vm := func() model.VMID { return rapid.SampledFrom(w.ids).Draw(t, "vm") }
		epoch := uint64(0)
		w.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tick) },
			"stop":    func(*rapid.T) { w.stop(vm()) },
			"replace": func(t *rapid.T) {
				id := vm()
				w.stop(id)
				w.start(id, time.Duration(rapid.IntRange(0, 3600_000).Draw(t, "behind"))*time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				a, b := vm(), vm()
				w.cut[[2]model.VMID{a, b}] = true
				if rapid.Bool().Draw(t, "both") {
					w.cut[[2]model.VMID{b, a}] = true
				}
			},
			"heal": func(*rapid.T) { clear(w.cut) },
			"repeat": func(t *rapid.T) {
				for range 20 {
					i := rapid.IntRange(max(0, len(w.past)-400), len(w.past)-1).Draw(t, "parcel")
					age := w.now.Sub(w.past[i].at)
					w.repeat(i, time.Duration(rapid.IntRange(0, max(0, int((oldest-age)/time.Second))).Draw(t, "after"))*time.Second)
				}
			},
			"hold": func(t *rapid.T) {
				id := vm()
				if w.nodes[id].running {
					epoch++
					w.hold(w.nodes[id].table.Self().Domain, id, epoch)
				}
			},
			"change": func(*rapid.T) {
				if id := vm(); w.nodes[id].running {
					w.change(id, func(m *model.Member) { m.ConfigVersion++; m.Leaving = !m.Leaving })
				}
			},
			"list": func(t *rapid.T) {
				if id := vm(); w.nodes[id].running {
					w.list(id, func() bool { return rapid.Bool().Draw(t, "shown") })
				}
			},
			"settle": func(t *rapid.T) {
				clear(w.cut)
				for _, id := range w.ids {
					w.list(id, func() bool { return true })
				}
				w.advance(quiet)
				// The last deaths are relayed.
				w.advance(2 * member.FarInterval)
				begun := len(w.past)
				w.advance(2 * member.FarInterval)
				if n := w.records(begun); n > 0 {
					t.Fatalf("%d records were sent that nobody lacked", n)
				}
				for _, id := range w.ids {
					if bad := w.unequal(id); len(bad) > 0 {
						t.Fatalf("after %s without a fault: %v", quiet, bad)
					}
				}
			},
			"": func(t *rapid.T) {
				// Updates of another failure domain pass through two VMs.
				if bad := w.revived(member.NearDead+slowest+2*tick, member.FarDead+3*(slowest+tick)+tick); len(bad) > 0 {
					t.Fatalf("%v", bad)
				}
				if bad := w.misfits(); len(bad) > 0 {
					t.Fatalf("%v", bad)
				}
			},
		})
	})
}
