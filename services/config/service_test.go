package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	decide "github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

func init() { testseed.SetFlags("60") }

const (
	// inForceWithin is the stated bound for an accepted configuration to be in force everywhere.
	inForceWithin = 7 * time.Second
	// startSlack covers the fake calls between a VM's confirmation and the store's acceptance.
	startSlack = 4 * delay
)

// step is one action of a schedule.
type step struct {
	kind string
	a, b int
	wait time.Duration
}

var stepKinds = []string{
	"take out", "bring in", "race", "race", "store down", "store up", "lose answer", "lose answer", "cut store", "cut link",
	"isolate", "cut domain", "heal", "go back",
}

func drawSchedule(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			a:    rapid.IntRange(0, 5).Draw(t, "a"),
			b:    rapid.IntRange(0, 5).Draw(t, "b"),
			wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 4, 14).Draw(t, "schedule")
}

// cluster is three failure domains of two VMs each around one fake store.
type cluster struct {
	ctx   context.Context
	world *kernel.Kernel
	vms   []*vm
	// outSince gives the time at which an accepted change took a failure domain out.
	outSince map[model.FailureDomain]time.Time
	// told gives, by the name of a preset, whether its operator was told that it was accepted. Presets
	// whose operator was told nothing definite are absent.
	told  map[string]bool
	races int
	// rewound is set once the store has gone back, after which out times are no longer known.
	rewound bool
}

func startCluster(ctx context.Context, wg *conc.WaitGroup) (*cluster, error) {
	w, err := kernel.New(nil, kernel.Spec{Name: nameWorld, Service: &world{cut: make(map[[2]string]bool)}})
	if err != nil {
		return nil, err
	}
	c := &cluster{ctx: ctx, world: w, outSince: make(map[model.FailureDomain]time.Time), told: make(map[string]bool)}
	byID := make(map[model.VMID]*vm)
	var members []model.Member
	for i := range 6 {
		d := model.FailureDomain(rune('a' + i/2))
		m := model.Member{VM: model.VMID(fmt.Sprintf("%s%d", d, i%2)), Domain: d, Region: model.Region(d), Alive: true}
		if i%2 == 0 {
			m.Holder = model.Epoch{Store: 1}
		}
		v, err := newVM(m, w, byID)
		if err != nil {
			return nil, err
		}
		byID[m.VM] = v
		c.vms = append(c.vms, v)
		members = append(members, m)
	}
	run := func(k *kernel.Kernel) {
		wg.Go(func() { _ = k.Run(ctx) })
		<-k.Started()
	}
	run(w)
	for _, v := range c.vms {
		run(v.kernel)
	}
	for i, v := range c.vms {
		_ = v.kernel.Send(nameRecorder, announce{m: message.MembersChanged{Members: members}})
		_ = v.kernel.Send(nameRecorder, announce{m: message.AuthorityChanged{Holder: i%2 == 0, Epoch: model.Epoch{Store: 1}}})
	}
	return c, nil
}

func (c *cluster) control(change func(*world)) {
	_, _ = c.world.Call(c.ctx, nameWorld, control{change: change})
}

// change makes a change through a VM against the version that it shows, or a version that has passed.
func (c *cluster) change(i int, stale uint64, ch message.ConfigChange) (model.Config, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	var expect uint64
	if current, err := kernel.Call[message.ConfigReply](ctx, c.vms[i].kernel, names.Config, message.ConfigGet{}); err == nil {
		expect = current.Config.Version
	}
	reply, err := kernel.Call[message.ConfigReply](ctx, c.vms[i].kernel, names.Config,
		message.ConfigPropose{Expect: expect - min(expect, stale), Change: ch})
	return reply.Config, err
}

func (c *cluster) setOut(i, domain int, out bool) {
	d := model.FailureDomain(rune('a' + domain/2))
	ch := message.ConfigChange{TakeOut: d}
	if !out {
		ch = message.ConfigChange{BringIn: d}
	}
	_, err := c.change(i, 0, ch)
	var f *failure.Error
	unknown := errors.As(err, &f) && f.Outcome != failure.NotRun
	_, isOut := c.outSince[d]
	switch {
	case unknown || !out && err == nil:
		// A change that may have taken effect, in either direction, leaves the state of the domain open.
		delete(c.outSince, d)
	case err == nil && !isOut:
		c.outSince[d] = time.Now()
	}
}

func (c *cluster) run(s step) error {
	switch s.kind {
	case "take out", "bring in":
		c.setOut(s.a, s.b, s.kind == "take out")
	case "race":
		if err := c.race(s.a, s.b); err != nil {
			return err
		}
	case "store down", "store up":
		c.control(func(w *world) { w.down = s.kind == "store down" })
	case "lose answer":
		c.control(func(w *world) { w.loseOne = true })
	case "cut store":
		id := string(c.vms[s.a].member.VM)
		c.control(func(w *world) { w.cut[[2]string{id, "store"}] = true })
	case "cut link":
		from, to := string(c.vms[s.a].member.VM), string(c.vms[s.b].member.VM)
		c.control(func(w *world) { w.cut[[2]string{from, to}] = true })
	case "isolate":
		c.isolate(func(i int) bool { return i == s.a })
	case "cut domain":
		c.isolate(func(i int) bool { return i/2 == s.a/2 })
	case "heal":
		c.control(func(w *world) { w.cut, w.down = make(map[[2]string]bool), false })
	case "go back":
		c.rewound = true
		c.control(func(w *world) {
			// The first entry of the past is the absent key.
			if len(w.past) > 1 {
				w.set(kv.Entry{Key: w.entry.Key, Value: w.past[len(w.past)-1].Value})
			}
		})
	}
	for end := time.Now().Add(s.wait); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		if err := c.check(); err != nil {
			return err
		}
	}
	return c.check()
}

// isolate cuts the VMs inside a group off from the store and from the VMs outside it.
func (c *cluster) isolate(inside func(int) bool) {
	c.control(func(w *world) {
		for i, v := range c.vms {
			if inside(i) {
				w.cut[[2]string{string(v.member.VM), "store"}] = true
			}
			for j, o := range c.vms {
				if inside(i) != inside(j) {
					w.cut[[2]string{string(v.member.VM), string(o.member.VM)}] = true
				}
			}
		}
	})
}

// race makes two operators change the same version at once; at most one may be accepted.
func (c *cluster) race(a, b int) error {
	var wg conc.WaitGroup
	results := make([]model.Config, 2)
	c.races++
	round := c.races
	name := func(n int) string { return fmt.Sprint("preset", round, "-", n) }
	errs := make([]error, 2)
	for n, i := range []int{a, b} {
		wg.Go(func() {
			preset := message.NamedPreset{Name: name(n)}
			results[n], errs[n] = c.change(i, 0, message.ConfigChange{PutPreset: &preset})
		})
	}
	wg.Wait()
	for n, err := range errs {
		if err == nil || failure.From(err).Outcome == failure.NotRun {
			c.told[name(n)] = err == nil
		}
	}
	if errs[0] == nil && errs[1] == nil && results[0].Version == results[1].Version {
		return fmt.Errorf("two operators were both told that version %d is theirs", results[0].Version)
	}
	return nil
}

func (c *cluster) view(i int) (decide.View, error) {
	r, err := kernel.Call[viewReply](c.ctx, c.vms[i].kernel, nameRecorder, viewGet{})
	if err != nil {
		return decide.View{}, err
	}
	if r.fault != "" {
		return r.view, fmt.Errorf("%s %s", c.vms[i].member.VM, r.fault)
	}
	return r.view, nil
}

// check guards P3 and the second half of P9 at one moment.
func (c *cluster) check() error {
	now := time.Now()
	for i, v := range c.vms {
		view, err := c.view(i)
		if err != nil {
			return err
		}
		for d, since := range c.outSince {
			if !c.rewound && view.MayStart(d, now) && now.Sub(since) > decide.ValidFor+startSlack {
				return fmt.Errorf("%s permits starts in %s, out for %v", v.member.VM, d, now.Sub(since))
			}
		}
	}
	return nil
}

// converge heals all faults, makes one more change and checks that it is in force everywhere in time.
func (c *cluster) converge() error {
	c.control(func(w *world) { w.cut, w.down, w.loseOne = make(map[[2]string]bool), false, false })
	time.Sleep(inForceWithin)
	last, err := c.change(0, 0, message.ConfigChange{PutPreset: &message.NamedPreset{Name: "last"}})
	if err != nil {
		return fmt.Errorf("change after all faults healed: %w", err)
	}
	for name, accepted := range c.told {
		if _, found := last.Presets[name]; found != accepted && !c.rewound {
			return fmt.Errorf("%s: operator told %v, in the document %v", name, accepted, found)
		}
	}
	time.Sleep(inForceWithin)
	for i, v := range c.vms {
		view, err := c.view(i)
		switch {
		case err != nil:
			return err
		case view.Doc.WriteID != last.WriteID || !view.Fresh(time.Now()):
			return fmt.Errorf("%s applies version %d (age %v), not %d", v.member.VM, view.Doc.Version, view.Age(time.Now()), last.Version)
		}
	}
	return nil
}

// inCluster runs f against a new cluster in virtual time.
func inCluster(t *testing.T, f func(*cluster) error) error {
	var failed error
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		c, err := startCluster(ctx, &wg)
		if err == nil {
			time.Sleep(2 * time.Second)
			_, err = c.change(0, 0, message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary"}})
		}
		if err == nil {
			time.Sleep(2 * time.Second)
			err = f(c)
		}
		failed = err
		cancel()
		wg.Wait()
	})
	return failed
}

// TestFaults guards P3 and P9 against store outages, lost answers, cuts, an older store and racing operators,
// alone and together.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSchedule(rt)
		err := inCluster(t, func(c *cluster) error {
			for _, s := range schedule {
				if err := c.run(s); err != nil {
					return fmt.Errorf("%+v: %w", s, err)
				}
			}
			return c.converge()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestStoreCalls guards against calls to the store that grow with the VMs: without faults only the holder of
// each failure domain watches.
func TestStoreCalls(t *testing.T) {
	const seconds, domains, perSecond = 20, 3, 3
	err := inCluster(t, func(c *cluster) error {
		time.Sleep(5 * time.Second)
		var before, after int
		c.control(func(w *world) { before = w.calls })
		time.Sleep(seconds * time.Second)
		c.control(func(w *world) { after = w.calls })
		if calls := after - before; calls > seconds*domains*perSecond {
			return fmt.Errorf("%d calls in %d s", calls, seconds)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestStaleOperator guards against a change that overwrites one that its operator never saw.
func TestStaleOperator(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		if _, err := c.change(1, 0, message.ConfigChange{TakeOut: "a"}); err != nil {
			return err
		}
		_, err := c.change(2, 1, message.ConfigChange{TakeOut: "b"})
		if failure.From(err).Reason != failure.ConfigConflict {
			return fmt.Errorf("got %v", err)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCutDomainGoesStale guards against VMs that are cut off together and keep each other's confirmation alive.
func TestCutDomainGoesStale(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		c.isolate(func(i int) bool { return i < 2 })
		time.Sleep(decide.ValidFor + startSlack)
		for i := range c.vms {
			view, err := c.view(i)
			if err != nil {
				return err
			}
			if fresh, cut := view.Fresh(time.Now()), i < 2; fresh == cut {
				return fmt.Errorf("%s: fresh is %v, cut off is %v", c.vms[i].member.VM, fresh, cut)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestConfirmedThroughPeer guards against a failure domain that stops starting tasks although another one
// still reaches the store.
func TestConfirmedThroughPeer(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		c.control(func(w *world) {
			for _, v := range c.vms[:2] {
				w.cut[[2]string{string(v.member.VM), "store"}] = true
			}
		})
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			for i := range c.vms {
				view, err := c.view(i)
				if err != nil {
					return err
				}
				if !view.Fresh(time.Now()) {
					return fmt.Errorf("%s: confirmation is %v old", c.vms[i].member.VM, view.Age(time.Now()))
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
