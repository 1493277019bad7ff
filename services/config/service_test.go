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
	// inForceWithin is the specified bound after which an accepted configuration is in force on all VMs.
	inForceWithin = 7 * time.Second
	// startSlack covers the duration of the simulated calls between the confirmation of a VM and the acceptance of a
	// change by the store.
	startSlack = 4 * delay
)

// step is one action of a schedule. a and b select VMs; wait is the time after the action.
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

// cluster consists of three failure domains with two VMs each and one simulated store.
type cluster struct {
	ctx         context.Context
	environment *kernel.Kernel
	vms         []*vm
	// outSince holds the time at which an accepted change took a failure domain out of service.
	outSince map[model.FailureDomain]time.Time
	// reported holds, by preset name, whether the change that added the preset was reported as accepted. Presets of
	// changes with an unknown outcome are absent.
	reported map[string]bool
	races    int
	// rewound is true once the store was reset to an older entry. outSince and reported no longer apply then.
	rewound bool
}

func startCluster(ctx context.Context, wg *conc.WaitGroup) (*cluster, error) {
	env, err := kernel.New(nil, kernel.Spec{Name: nameEnvironment, Service: &environment{cutLinks: make(map[[2]string]bool)}})
	if err != nil {
		return nil, err
	}
	c := &cluster{ctx: ctx, environment: env, outSince: make(map[model.FailureDomain]time.Time), reported: make(map[string]bool)}
	byID := make(map[model.VMID]*vm)
	var members []model.Member
	for i := range 6 {
		d := model.FailureDomain(rune('a' + i/2))
		m := model.Member{VM: model.VMID(fmt.Sprintf("%s%d", d, i%2)), Domain: d, Region: model.Region(d), Alive: true}
		if i%2 == 0 {
			m.Holder = model.Epoch{Store: 1}
		}
		v, err := newVM(m, env, byID)
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
	run(env)
	for _, v := range c.vms {
		run(v.kernel)
	}
	for i, v := range c.vms {
		_ = v.kernel.Send(nameRecorder, publishRequest{m: message.MembersChanged{Members: members}})
		_ = v.kernel.Send(nameRecorder, publishRequest{m: message.AuthorityChanged{Holder: i%2 == 0, Epoch: model.Epoch{Store: 1}}})
	}
	return c, nil
}

func (c *cluster) control(change func(*environment)) {
	_, _ = c.environment.Call(c.ctx, nameEnvironment, control{change: change})
}

// change proposes a change through VM i, against the version that the VM reports minus stale.
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

// setOut takes the failure domain of VM j out of service, or brings it back, through VM i.
func (c *cluster) setOut(i, j int, out bool) {
	d := model.FailureDomain(rune('a' + j/2))
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
		// The failure domain is back in service, or its state is unknown after a change of unknown outcome.
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
		c.control(func(env *environment) { env.down = s.kind == "store down" })
	case "lose answer":
		c.control(func(env *environment) { env.loseNextAnswer = true })
	case "cut store":
		id := string(c.vms[s.a].member.VM)
		c.control(func(env *environment) { env.cutLinks[[2]string{id, "store"}] = true })
	case "cut link":
		from, to := string(c.vms[s.a].member.VM), string(c.vms[s.b].member.VM)
		c.control(func(env *environment) { env.cutLinks[[2]string{from, to}] = true })
	case "isolate":
		c.isolate(func(i int) bool { return i == s.a })
	case "cut domain":
		c.isolate(func(i int) bool { return i/2 == s.a/2 })
	case "heal":
		c.control(func(env *environment) { env.cutLinks, env.down = make(map[[2]string]bool), false })
	case "go back":
		c.rewound = true
		c.control(func(env *environment) {
			// The first entry of the history is the absent key.
			if len(env.history) > 1 {
				env.setEntry(kv.Entry{Key: env.entry.Key, Value: env.history[len(env.history)-1].Value})
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

// isolate cuts the links between a group of VMs and the store, and between the group and the other VMs.
func (c *cluster) isolate(inside func(int) bool) {
	c.control(func(env *environment) {
		for i, v := range c.vms {
			if inside(i) {
				env.cutLinks[[2]string{string(v.member.VM), "store"}] = true
			}
			for j, o := range c.vms {
				if inside(i) != inside(j) {
					env.cutLinks[[2]string{string(v.member.VM), string(o.member.VM)}] = true
				}
			}
		}
	})
}

// race proposes two changes concurrently. At most one may be accepted as the next version.
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
			c.reported[name(n)] = err == nil
		}
	}
	if errs[0] == nil && errs[1] == nil && results[0].Version == results[1].Version {
		return fmt.Errorf("two changes were both accepted as version %d", results[0].Version)
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

// check verifies the current state: no VM permits starts in a failure domain that has been out of service for longer
// than ValidFor (promise P3), and no VM has gone back to an older configuration (second half of promise P9).
func (c *cluster) check() error {
	now := time.Now()
	for i, v := range c.vms {
		view, err := c.view(i)
		if err != nil {
			return err
		}
		for d, since := range c.outSince {
			if !c.rewound && view.MayStart(d, now) && now.Sub(since) > decide.ValidFor+startSlack {
				return fmt.Errorf("%s permits starts in %s, which has been out of service for %v", v.member.VM, d, now.Sub(since))
			}
		}
	}
	return nil
}

// converge removes all faults, makes one more change and verifies that it is in force on all VMs within inForceWithin.
func (c *cluster) converge() error {
	c.control(func(env *environment) {
		env.cutLinks, env.down, env.loseNextAnswer = make(map[[2]string]bool), false, false
	})
	time.Sleep(inForceWithin)
	last, err := c.change(0, 0, message.ConfigChange{PutPreset: &message.NamedPreset{Name: "last"}})
	if err != nil {
		return fmt.Errorf("change after all faults were removed: %w", err)
	}
	for name, accepted := range c.reported {
		if _, found := last.Presets[name]; found != accepted && !c.rewound {
			return fmt.Errorf("%s: reported as accepted: %v, in the document: %v", name, accepted, found)
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

// inCluster runs f with a new cluster in virtual time.
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

// TestFaults guards against violations of promises P3 and P9 (see check and converge) that arise from store outages,
// lost answers, cut links, a store that returns to an older document and concurrent changes, alone and combined.
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

// TestStoreCalls guards against a rate of store calls that grows with the number of VMs. Without faults, only the
// holder of each failure domain watches the store.
func TestStoreCalls(t *testing.T) {
	const seconds, domains, perSecond = 20, 3, 3
	err := inCluster(t, func(c *cluster) error {
		time.Sleep(5 * time.Second)
		var before, after int
		c.control(func(env *environment) { before = env.calls })
		time.Sleep(seconds * time.Second)
		c.control(func(env *environment) { after = env.calls })
		if calls := after - before; calls > seconds*domains*perSecond {
			return fmt.Errorf("%d store calls in %d s", calls, seconds)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestStaleOperator guards against a change that is based on an outdated version and overwrites a newer one.
func TestStaleOperator(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		if _, err := c.change(1, 0, message.ConfigChange{TakeOut: "a"}); err != nil {
			return err
		}
		_, err := c.change(2, 1, message.ConfigChange{TakeOut: "b"})
		if failure.From(err).Reason != failure.ConfigConflict {
			return fmt.Errorf("got error %v instead of a configuration conflict", err)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCutDomainGoesStale guards against VMs of an isolated failure domain that renew their confirmations from each
// other.
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

// TestConfirmedThroughPeer guards against a failure domain without access to the store that stops starting tasks
// although another failure domain can still reach the store.
func TestConfirmedThroughPeer(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		c.control(func(env *environment) {
			for _, v := range c.vms[:2] {
				env.cutLinks[[2]string{string(v.member.VM), "store"}] = true
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
