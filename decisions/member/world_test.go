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

// node is one entry VM of a world. A stopped VM keeps its last table.
type node struct {
	table *member.Table
	// started and stopped are the times of the last start and the last stop.
	started, stopped time.Time
	running          bool
	replaced         int
	// listed are the VMs that the list shows.
	listed map[model.VMID]bool
}

// parcel is a digest on its way.
type parcel struct {
	from, to  model.VMID
	digest    model.Digest
	at        time.Time
	replaced  int
	answer    bool
	duplicate bool
}

// world is a set of VMs with a network that delays, cuts and duplicates. Clocks are those of the world.
type world struct {
	now     time.Time
	ids     []model.VMID
	all     []model.Member
	nodes   map[model.VMID]*node
	network []parcel
	past    []parcel
	cut     map[[2]model.VMID]bool
	random  *rand.Rand
	slowest time.Duration
	domains int
}

func newWorld(domains, perDomain int, slowest time.Duration, seed uint64) *world {
	w := &world{
		now: time.Unix(1e6, 0), nodes: map[model.VMID]*node{}, cut: map[[2]model.VMID]bool{},
		domains: domains, slowest: slowest, random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range domains * perDomain {
		m := model.Member{VM: model.VMID(fmt.Sprint("v", i)), Domain: model.FailureDomain(fmt.Sprint("d", i%domains))}
		w.all, w.ids = append(w.all, m), append(w.ids, m.VM)
		w.nodes[m.VM] = &node{}
	}
	for _, id := range w.ids {
		w.start(id, 0)
	}
	return w
}

// start starts a VM whose clock is behind the others, but not so that it repeats the counts of its last start.
func (w *world) start(id model.VMID, behind time.Duration) {
	n := w.nodes[id]
	n.running, n.started = true, w.now
	n.replaced++
	behind += time.Duration(n.replaced) * 10 * time.Millisecond
	m := w.all[slices.Index(w.ids, id)]
	m.Address = fmt.Sprint(id, "-", n.replaced)
	// The settings name the first VM of each failure domain, the list shows all.
	n.table = member.New(m, w.all[:w.domains], uint64(w.now.Add(-behind).UnixMicro()))
	w.list(id, func() bool { return true })
}

// list shows a VM a list with some of the VMs. The list claims that all of them leave.
func (w *world) list(id model.VMID, shown func() bool) {
	n := w.nodes[id]
	n.listed = map[model.VMID]bool{}
	list := []model.VM{{ID: "w0", Role: model.RoleWorker, Domain: "d0"}}
	for _, o := range w.all {
		if shown() {
			n.listed[o.VM] = true
			list = append(list, model.VM{ID: string(o.VM), Role: model.RoleEntry, Domain: o.Domain, Leaving: true})
		}
	}
	n.table.Listed(list)
}

// misfits returns the VMs that a table shows though no source names them, or not though one does, and those whose
// state differs from their liveness.
func (w *world) misfits() []string {
	var out []string
	for _, by := range w.ids {
		n := w.nodes[by]
		if !n.running {
			continue
		}
		shown := map[model.VMID]bool{by: true}
		for _, m := range n.table.Members() {
			shown[m.VM] = m.Alive || n.listed[m.VM] || slices.Index(w.ids, m.VM) < w.domains
			if !shown[m.VM] || m.Alive == (n.table.State(m.VM, w.now) == member.Dead) {
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

func (w *world) stop(id model.VMID) {
	if n := w.nodes[id]; n.running {
		n.running, n.stopped = false, w.now
	}
}

// change alters what a running VM tells about itself.
func (w *world) change(id model.VMID, f func(*model.Member)) {
	n := w.nodes[id]
	m := n.table.Self()
	f(&m)
	n.table.SetSelf(m)
}

// announce makes a VM tell all live members at once.
func (w *world) announce(id model.VMID) {
	for _, m := range w.nodes[id].table.Members() {
		if m.Alive {
			w.send(id, m.VM, false)
		}
	}
}

func (w *world) send(from, to model.VMID, answer bool) {
	p := parcel{from: from, to: to, digest: w.nodes[from].table.Digest(to, w.now), at: w.now.Add(time.Duration(w.random.Int64N(int64(w.slowest)))), replaced: w.nodes[to].replaced, answer: answer}
	w.network = append(w.network, p)
}

// repeat delivers a digest that was delivered before once more to the same VM.
func (w *world) repeat(i int, after time.Duration) {
	p := w.past[i]
	p.at, p.duplicate = w.now.Add(after), true
	w.network = append(w.network, p)
}

func (w *world) deliver() {
	arrived := slices.Clone(w.network)
	w.network = slices.DeleteFunc(w.network, func(p parcel) bool { return !p.at.After(w.now) })
	for _, p := range arrived {
		n := w.nodes[p.to]
		// A connection does not outlive its VM.
		if p.at.After(w.now) || !n.running || n.replaced != p.replaced || w.cut[[2]model.VMID{p.from, p.to}] {
			continue
		}
		from, _ := n.table.Heard(p.digest, w.now)
		if p.duplicate {
			continue
		}
		w.past = append(w.past, p)
		if !p.answer && from != "" {
			w.send(p.to, from, true)
		}
	}
}

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		for _, id := range w.ids {
			if n := w.nodes[id]; n.running {
				for _, m := range n.table.Due(w.now) {
					w.send(id, m.VM, false)
				}
				n.table.Expire(w.now)
			}
		}
	}
}

// seen returns how a VM sees another one.
func (w *world) seen(by, id model.VMID) model.Member {
	for _, m := range w.nodes[by].table.Members() {
		if m.VM == id {
			return m
		}
	}
	return model.Member{}
}

// revived returns the pairs of a running VM and a VM that it sees alive though that one stopped longer ago than
// allowed.
func (w *world) revived(near, far time.Duration) []string {
	var out []string
	for _, by := range w.ids {
		for _, id := range w.ids {
			n := w.nodes[id]
			if by == id || n.running || !w.nodes[by].running || !w.seen(by, id).Alive {
				continue
			}
			limit := far
			if w.seen(by, id).Domain == w.nodes[by].table.Self().Domain {
				limit = near
			}
			if w.now.Sub(n.stopped) > limit {
				out = append(out, fmt.Sprintf("%s sees %s alive %s after its end", by, id, w.now.Sub(n.stopped)))
			}
		}
	}
	return out
}

// unequal returns the views that differ from the truth about a VM.
func (w *world) unequal(id model.VMID) []string {
	var out []string
	for _, by := range w.ids {
		n := w.nodes[id]
		if by == id || !w.nodes[by].running {
			continue
		}
		got, want := w.seen(by, id), n.table.Self()
		want.Alive = n.running
		want.LastHeard, want.Load = got.LastHeard, got.Load
		if slices.Index(w.ids, id) < w.domains {
			// The address of the settings stays until the VM is replaced.
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

// records counts the records in the digests that were delivered after the first ones.
func (w *world) records(first int) int {
	n := 0
	for _, p := range w.past[first:] {
		for _, update := range p.digest.Updates {
			if update.Member != nil {
				n++
			}
		}
	}
	return n
}

// until returns the time until all running VMs see the truth about a VM.
func (w *world) until(id model.VMID, limit time.Duration) (time.Duration, []string) {
	begun := w.now
	for {
		bad := w.unequal(id)
		if len(bad) == 0 || w.now.Sub(begun) > limit {
			return w.now.Sub(begun), bad
		}
		w.advance(tick)
	}
}

// hold makes a VM the holder of its failure domain.
func (w *world) hold(domain model.FailureDomain, id model.VMID, epoch uint64) {
	for _, other := range slices.Sorted(maps.Keys(w.nodes)) {
		if m := w.nodes[other].table.Self(); m.Domain == domain && w.nodes[other].running && (other == id || !m.Holder.IsZero()) {
			w.change(other, func(m *model.Member) { m.Holder = model.Epoch{} })
			if other == id {
				w.change(other, func(m *model.Member) { m.Holder = model.Epoch{Store: epoch} })
			}
			w.announce(other)
		}
	}
}
