package member_test

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

// TestBounds guards the maximum times after which all VMs know of a change, as stated in docs/decisions/membership.md.
// Network delays are at most 100 ms; time advances in ticks.
func TestBounds(t *testing.T) {
	const transit, slack = 100 * time.Millisecond, 4 * tick
	for _, test := range []struct {
		name   string
		change func(s *simulation, holder, other model.VMID) model.VMID
		limit  time.Duration
	}{
		{"start", func(*simulation, model.VMID, model.VMID) model.VMID { return "v5" }, 2 * tick},
		{"dead", func(s *simulation, _, other model.VMID) model.VMID { s.stop(other); return other }, member.IntraDomainTimeout + member.InterDomainInterval + member.IntraDomainInterval},
		{"dead holder", func(s *simulation, holder, _ model.VMID) model.VMID { s.stop(holder); return holder }, member.InterDomainTimeout},
		{"dead domain", func(s *simulation, holder, other model.VMID) model.VMID {
			for _, m := range s.members {
				if m.Domain == s.nodes[holder].table.Self().Domain {
					s.stop(m.VM)
				}
			}
			return other
		}, member.InterDomainTimeout},
		{"leaving", func(s *simulation, _, other model.VMID) model.VMID {
			s.change(other, func(m *model.Member) { m.Leaving = true })
			s.announce(other)
			return other
		}, 0},
		{"new holder", func(s *simulation, _, other model.VMID) model.VMID {
			s.change(other, func(m *model.Member) { m.Holder = model.Epoch{Store: 9} })
			s.announce(other)
			return other
		}, 0},
		{"configuration", func(s *simulation, _, other model.VMID) model.VMID {
			s.change(other, func(m *model.Member) { m.ConfigVersion = 9 })
			return other
		}, member.IntraDomainInterval + member.InterDomainInterval + member.IntraDomainInterval},
		{"new VM", func(s *simulation, _, other model.VMID) model.VMID {
			s.stop(other)
			s.advance(time.Minute)
			s.start(other, 0)
			return other
		}, member.IntraDomainInterval + member.InterDomainInterval + member.IntraDomainInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(4) {
				s := newSimulation(7, 4, transit, seed)
				s.advance(10 * time.Second)
				s.setHolder("d3", "v3", 1)
				s.advance(10*time.Second + time.Duration(seed)*tick)
				elapsed, problems := s.timeToConverge(test.change(s, "v3", "v17"), time.Minute)
				if len(problems) > 0 {
					t.Fatalf("%v", problems)
				}
				worst = max(worst, elapsed)
			}
			t.Logf("known everywhere after %s", worst)
			if worst > test.limit+slack {
				t.Errorf("known everywhere after %s, want %s", worst, test.limit)
			}
		})
	}
}
