package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

func init() { testseed.Fix("100") }

// TestTable guards against a view that follows the list instead of the heartbeats, a member that is dead too
// early or too late, an address or flag older than the last heartbeat, and heartbeats that are not sent.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := model.Member{VM: "v2", Domain: "a"}
		now := time.Unix(1000, 0)
		named := model.Member{VM: "v0", Domain: "a", Address: "old"}
		table := member.New(self, []model.Member{named})
		// The oracle: the last heartbeat of each VM, the VMs that the list shows and the last heartbeat sent.
		heard := map[model.VMID]model.Member{}
		listed := map[model.VMID]bool{}
		sent := map[model.VMID]time.Time{}
		// The settings' address of a VM counts until the VM advertises another address than before.
		advertised, moved := "", false
		vm := func(i int) model.Member {
			m := model.Member{VM: model.VMID(fmt.Sprint("v", i)), Domain: "a"}
			if i >= 3 {
				m.Domain = "b"
			}
			return m
		}
		limits := func(m model.Member) (interval, dead time.Duration) {
			if m.Domain == "a" {
				return 500 * time.Millisecond, 3500 * time.Millisecond
			}
			return 2 * time.Second, 10 * time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				m := vm(rapid.IntRange(0, 5).Draw(t, "vm"))
				m.Address = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")
				m.Leaving = rapid.Bool().Draw(t, "leaving")
				table.Heard(m, now)
				if m.VM == named.VM {
					moved = moved || advertised != "" && advertised != m.Address
					advertised = m.Address
				}
				if m.VM != self.VM {
					m.LastHeard = now
					heard[m.VM] = m
				}
			},
			"list": func(t *rapid.T) {
				var vms []model.VM
				clear(listed)
				for i := range 6 {
					if m := vm(i); rapid.Bool().Draw(t, "listed") {
						listed[m.VM] = true
						vms = append(vms, model.VM{ID: string(m.VM), Role: model.RoleEntry, Domain: m.Domain, Address: "list", Leaving: true})
					}
				}
				table.Listed(append(vms, model.VM{ID: "w0", Role: model.RoleWorker, Domain: "a"}))
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"send": func(*rapid.T) {
				due := map[model.VMID]bool{}
				for _, m := range table.Due(now) {
					due[m.VM] = true
				}
				for _, m := range table.Members() {
					interval, _ := limits(m)
					silent := now.Sub(heard[m.VM].LastHeard)
					want := now.Sub(sent[m.VM]) >= interval && (m.VM > self.VM || !m.Alive || silent >= 2*interval)
					if due[m.VM] != want {
						t.Fatalf("heartbeat to %s due: %v, want %v", m.VM, due[m.VM], want)
					}
					if want {
						sent[m.VM] = now
					}
				}
			},
			"": func(t *rapid.T) {
				seen := map[model.VMID]bool{}
				for _, m := range table.Members() {
					seen[m.VM] = true
					last, ever := heard[m.VM]
					_, dead := limits(m)
					alive := ever && now.Sub(last.LastHeard) < dead
					if m.Alive != alive || (table.State(m.VM, now) == member.Dead) == alive {
						t.Fatalf("%s alive: %v, want %v", m.VM, m.Alive, alive)
					}
					if m.VM == named.VM && !moved {
						last.Address = named.Address
					}
					if alive && (m.Address != last.Address || m.Leaving != last.Leaving) {
						t.Fatalf("%s differs from its last heartbeat: %+v", m.VM, m)
					}
				}
				for i := range 6 {
					id := vm(i).VM
					_, dead := limits(vm(i))
					known := id != self.VM && (id == named.VM || listed[id] || now.Sub(heard[id].LastHeard) < dead)
					if seen[id] != known {
						t.Fatalf("%s known: %v, want %v", id, seen[id], known)
					}
					if !known {
						delete(sent, id)
					}
				}
			},
		})
	})
}
