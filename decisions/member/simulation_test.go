package member_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

const tick = 250 * time.Millisecond

// node is one simulated entry VM. A stopped VM keeps its last table.
type node struct {
	table *member.Table
	// started and stopped are the times of the last start and the last stop.
	started, stopped time.Time
	running          bool
	// generation counts the starts.
	generation int
	// listed is the set of VMs in the VM list that the VM last received.
	listed map[model.VMID]bool
}

// packet is a digest that was sent to a VM.
type packet struct {
	from, to   model.VMID
	digest     model.Digest
	arrival    time.Time
	generation int
	answer     bool
	duplicate  bool
}

// simulation is a set of VMs with a network that delays, drops and duplicates digests. All VMs use its clock.
type simulation struct {
	now       time.Time
	ids       []model.VMID
	members   []model.Member
	nodes     map[model.VMID]*node
	inTransit []packet
	delivered []packet
	blocked   map[[2]model.VMID]bool
	random    *rand.Rand
	maxDelay  time.Duration
	domains   int
}

func newSimulation(domains, perDomain int, maxDelay time.Duration, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1e6, 0), nodes: map[model.VMID]*node{}, blocked: map[[2]model.VMID]bool{},
		domains: domains, maxDelay: maxDelay, random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range domains * perDomain {
		m := model.Member{VM: model.VMID(fmt.Sprint("v", i)), Domain: model.FailureDomain(fmt.Sprint("d", i%domains))}
		s.members, s.ids = append(s.members, m), append(s.ids, m.VM)
		s.nodes[m.VM] = &node{}
	}
	for _, id := range s.ids {
		s.start(id, 0)
	}
	return s
}

// start starts a VM whose initial heartbeat count is that of a clock that lags behind. Successive starts at the same
// time begin with different counts.
func (s *simulation) start(id model.VMID, clockLag time.Duration) {
	n := s.nodes[id]
	n.running, n.started = true, s.now
	n.generation++
	clockLag += time.Duration(n.generation) * 10 * time.Millisecond
	m := s.members[slices.Index(s.ids, id)]
	m.Address = fmt.Sprint(id, "-", n.generation)
	// The settings name the first VM of each failure domain; the VM list contains all VMs.
	n.table = member.New(m, s.members[:s.domains], uint64(s.now.Add(-clockLag).UnixMicro()))
	s.applyList(id, func() bool { return true })
}

// applyList passes a VM list with some of the VMs to a VM. All of them are marked as leaving in the list.
func (s *simulation) applyList(id model.VMID, shown func() bool) {
	n := s.nodes[id]
	n.listed = map[model.VMID]bool{}
	list := []model.VM{{ID: "w0", Role: model.RoleWorker, Domain: "d0"}}
	for _, o := range s.members {
		if shown() {
			n.listed[o.VM] = true
			list = append(list, model.VM{ID: string(o.VM), Role: model.RoleEntry, Domain: o.Domain, Leaving: true})
		}
	}
	n.table.ApplyVMList(list)
}

// listingErrors returns the dead members that neither the settings nor the VM list contain, the listed VMs that are not
// members, and the members whose state contradicts their liveness.
func (s *simulation) listingErrors() []string {
	var out []string
	for _, by := range s.ids {
		n := s.nodes[by]
		if !n.running {
			continue
		}
		shown := map[model.VMID]bool{by: true}
		for _, m := range n.table.Members() {
			shown[m.VM] = m.Alive || n.listed[m.VM] || slices.Index(s.ids, m.VM) < s.domains
			if !shown[m.VM] || m.Alive == (n.table.State(m.VM, s.now) == member.Dead) {
				out = append(out, fmt.Sprintf("%s shows %+v", by, m))
			}
		}
		for id := range n.listed {
			if !shown[id] {
				out = append(out, fmt.Sprintf("%s does not show %s", by, id))
			}
		}
	}
	return out
}

func (s *simulation) stop(id model.VMID) {
	if n := s.nodes[id]; n.running {
		n.running, n.stopped = false, s.now
	}
}

// change modifies the record of a running VM.
func (s *simulation) change(id model.VMID, f func(*model.Member)) {
	n := s.nodes[id]
	m := n.table.Self()
	f(&m)
	n.table.SetSelf(m)
}

// announce makes a VM send a heartbeat to all live members immediately.
func (s *simulation) announce(id model.VMID) {
	for _, m := range s.nodes[id].table.Members() {
		if m.Alive {
			s.send(id, m.VM, false)
		}
	}
}

func (s *simulation) send(from, to model.VMID, answer bool) {
	p := packet{from: from, to: to, digest: s.nodes[from].table.NewDigest(to, s.now), arrival: s.now.Add(time.Duration(s.random.Int64N(int64(s.maxDelay)))), generation: s.nodes[to].generation, answer: answer}
	s.inTransit = append(s.inTransit, p)
}

// redeliver sends a duplicate of a delivered digest to the same VM.
func (s *simulation) redeliver(i int, after time.Duration) {
	p := s.delivered[i]
	p.arrival, p.duplicate = s.now.Add(after), true
	s.inTransit = append(s.inTransit, p)
}

func (s *simulation) deliver() {
	packets := slices.Clone(s.inTransit)
	s.inTransit = slices.DeleteFunc(s.inTransit, func(p packet) bool { return !p.arrival.After(s.now) })
	for _, p := range packets {
		n := s.nodes[p.to]
		// A restart of the receiver closes its connections.
		if p.arrival.After(s.now) || !n.running || n.generation != p.generation || s.blocked[[2]model.VMID{p.from, p.to}] {
			continue
		}
		from, _ := n.table.ApplyDigest(p.digest, s.now)
		if p.duplicate {
			continue
		}
		s.delivered = append(s.delivered, p)
		if !p.answer && from != "" {
			s.send(p.to, from, true)
		}
	}
}

// advance advances the time in ticks. In each tick digests arrive, due heartbeats are sent and members without recent
// heartbeats expire.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		s.deliver()
		for _, id := range s.ids {
			if n := s.nodes[id]; n.running {
				for _, m := range n.table.TakeDueHeartbeats(s.now) {
					s.send(id, m.VM, false)
				}
				n.table.Expire(s.now)
			}
		}
	}
}

// viewOf returns the member that a VM has for another one.
func (s *simulation) viewOf(by, id model.VMID) model.Member {
	for _, m := range s.nodes[by].table.Members() {
		if m.VM == id {
			return m
		}
	}
	return model.Member{}
}

// staleAlive returns the running VMs that consider another VM alive for longer after its stop than the limit.
func (s *simulation) staleAlive(ownDomainLimit, otherDomainLimit time.Duration) []string {
	var out []string
	for _, by := range s.ids {
		for _, id := range s.ids {
			n := s.nodes[id]
			if by == id || n.running || !s.nodes[by].running || !s.viewOf(by, id).Alive {
				continue
			}
			limit := otherDomainLimit
			if s.viewOf(by, id).Domain == s.nodes[by].table.Self().Domain {
				limit = ownDomainLimit
			}
			if s.now.Sub(n.stopped) > limit {
				out = append(out, fmt.Sprintf("%s sees %s alive %s after its end", by, id, s.now.Sub(n.stopped)))
			}
		}
	}
	return out
}

// viewErrors returns the views of running VMs that differ from the actual state of a VM.
func (s *simulation) viewErrors(id model.VMID) []string {
	var out []string
	for _, by := range s.ids {
		n := s.nodes[id]
		if by == id || !s.nodes[by].running {
			continue
		}
		got, want := s.viewOf(by, id), n.table.Self()
		want.Alive = n.running
		want.LastHeard, want.Load = got.LastHeard, got.Load
		if slices.Index(s.ids, id) < s.domains {
			// An address in the settings is kept until the VM is replaced.
			want.Address = got.Address
		}
		if !n.running {
			want = got
			want.Alive = false
		}
		if got != want {
			out = append(out, fmt.Sprintf("%s sees %+v, want %+v", by, got, want))
		}
	}
	return out
}

// countRecords returns the number of records in the digests that were delivered after the first ones.
func (s *simulation) countRecords(first int) int {
	count := 0
	for _, p := range s.delivered[first:] {
		for _, update := range p.digest.Updates {
			if update.Member != nil {
				count++
			}
		}
	}
	return count
}

// timeToConverge advances the time until the views of all running VMs equal the actual state of a VM. It returns the
// elapsed time, and the views that still differ at the limit.
func (s *simulation) timeToConverge(id model.VMID, limit time.Duration) (time.Duration, []string) {
	started := s.now
	for {
		problems := s.viewErrors(id)
		if len(problems) == 0 || s.now.Sub(started) > limit {
			return s.now.Sub(started), problems
		}
		s.advance(tick)
	}
}

// setHolder makes a VM the only holder of a failure domain.
func (s *simulation) setHolder(domain model.FailureDomain, id model.VMID, epoch uint64) {
	for _, other := range slices.Sorted(maps.Keys(s.nodes)) {
		if m := s.nodes[other].table.Self(); m.Domain == domain && s.nodes[other].running && (other == id || !m.Holder.IsZero()) {
			s.change(other, func(m *model.Member) { m.Holder = model.Epoch{} })
			if other == id {
				s.change(other, func(m *model.Member) { m.Holder = model.Epoch{Store: epoch} })
			}
			s.announce(other)
		}
	}
}
