package member_test

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

// TestBounds guards the times after which all VMs know of a change, which docs/decisions/membership.md states.
// Delays of the network are at most 100 ms; time advances in ticks.
func TestBounds(t *testing.T) {
	const transit, slack = 100 * time.Millisecond, 4 * tick
	for _, test := range []struct {
		name   string
		change func(w *world, holder, other model.VMID) model.VMID
		within time.Duration
	}{
		{"start", func(*world, model.VMID, model.VMID) model.VMID { return "v5" }, 2 * tick},
		{"dead", func(w *world, _, other model.VMID) model.VMID { w.stop(other); return other }, member.NearDead + member.FarInterval + member.NearInterval},
		{"dead holder", func(w *world, holder, _ model.VMID) model.VMID { w.stop(holder); return holder }, member.FarDead},
		{"dead domain", func(w *world, holder, other model.VMID) model.VMID {
			for _, m := range w.all {
				if m.Domain == w.nodes[holder].table.Self().Domain {
					w.stop(m.VM)
				}
			}
			return other
		}, member.FarDead},
		{"leaving", func(w *world, _, other model.VMID) model.VMID {
			w.change(other, func(m *model.Member) { m.Leaving = true })
			w.announce(other)
			return other
		}, 0},
		{"new holder", func(w *world, _, other model.VMID) model.VMID {
			w.change(other, func(m *model.Member) { m.Holder = model.Epoch{Store: 9} })
			w.announce(other)
			return other
		}, 0},
		{"configuration", func(w *world, _, other model.VMID) model.VMID {
			w.change(other, func(m *model.Member) { m.ConfigVersion = 9 })
			return other
		}, member.NearInterval + member.FarInterval + member.NearInterval},
		{"new VM", func(w *world, _, other model.VMID) model.VMID {
			w.stop(other)
			w.advance(time.Minute)
			w.start(other, 0)
			return other
		}, member.NearInterval + member.FarInterval + member.NearInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(4) {
				w := newWorld(7, 4, transit, seed)
				w.advance(10 * time.Second)
				w.hold("d3", "v3", 1)
				w.advance(10*time.Second + time.Duration(seed)*tick)
				took, bad := w.until(test.change(w, "v3", "v17"), time.Minute)
				if len(bad) > 0 {
					t.Fatalf("%v", bad)
				}
				worst = max(worst, took)
			}
			t.Logf("known everywhere after %s", worst)
			if worst > test.within+slack {
				t.Errorf("known everywhere after %s, want %s", worst, test.within)
			}
		})
	}
}
