package authority_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/services/authority"
)

// data is an in-memory store that several VMs share.
type data struct {
	mu      sync.Mutex
	entries map[string]message.StoreEntry
	bound   map[string]uint64
	leases  map[uint64]time.Time
	version uint64
	down    bool
	// loseAnswers is the number of puts whose answer is lost after they took effect.
	loseAnswers int
}

var errDown = &kv.UnavailableError{MayHaveApplied: true, Cause: errors.New("outage")}

func (d *data) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *data) expire() {
	for id, until := range d.leases {
		if !time.Now().Before(until) {
			delete(d.leases, id)
		}
	}
	for key, id := range d.bound {
		if _, ok := d.leases[id]; !ok {
			delete(d.entries, key)
			delete(d.bound, key)
		}
	}
}

func (d *data) call(m kernel.Message) (kernel.Message, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, errDown
	}
	d.expire()
	d.version++
	switch m := m.(type) {
	case message.StoreGet:
		return d.entries[m.Key], nil
	case message.StoreWatch:
		return d.entries[m.Key], nil
	case message.StorePut:
		if e := d.entries[m.Key]; e.Version != m.Expect {
			return nil, &kv.ConflictError{Current: kv.Entry(e)}
		}
		d.entries[m.Key] = message.StoreEntry{Key: m.Key, Value: m.Value, Version: d.version}
		if m.Lease != 0 {
			d.bound[m.Key] = m.Lease
		}
		if d.loseAnswers > 0 {
			d.loseAnswers--
			return nil, errDown
		}
		return d.entries[m.Key], nil
	case message.StoreGrant:
		d.leases[d.version] = time.Now().Add(m.TTL)
		return message.StoreLease{Lease: d.version}, nil
	case message.StoreKeepAlive:
		if _, ok := d.leases[m.Lease]; !ok {
			return nil, &kv.LeaseExpiredError{Lease: kv.LeaseID(m.Lease)}
		}
		d.leases[m.Lease] = time.Now().Add(3 * time.Second)
	case message.StoreRevoke:
		delete(d.leases, m.Lease)
	}
	return message.Done{}, nil
}

type retryDue struct {
	env  kernel.Envelope
	left int
}

func (retryDue) Kind() string { return "retry_due" }

type publish struct{ kernel.Message }

// fake stands for the store and membership services of one VM.
type fake struct {
	data    *data
	last    message.AuthorityChanged
	changes int
	closed  []model.Epoch
}

func (f *fake) Start(*kernel.Context) error { return nil }
func (f *fake) Drain(c *kernel.Context)     { c.Drained() }
func (f *fake) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case publish:
		c.Publish(m.Message)
	case message.AuthorityChanged:
		f.last = m
		f.changes++
	case message.LogClose:
		f.closed = append(f.closed, m.Epoch)
		e.Reply(message.Done{})
	case message.StoreWatch:
		f.watch(c, retryDue{env: e, left: 30})
	case retryDue:
		f.watch(c, m)
	default:
		if r, err := f.data.call(m); err != nil {
			e.Fail(err)
		} else {
			e.Reply(r)
		}
	}
}

func (f *fake) watch(c *kernel.Context, d retryDue) {
	m := d.env.Body.(message.StoreWatch)
	r, err := f.data.call(m)
	switch entry, _ := r.(message.StoreEntry); {
	case err != nil:
		d.env.Fail(err)
	case entry.Version != m.After:
		d.env.Reply(entry)
	case d.left == 0:
		d.env.Reply(message.StoreEntry{Key: m.Key, Version: m.After, Unchanged: true})
	default:
		c.After(100*time.Millisecond, retryDue{env: d.env, left: d.left - 1})
	}
}

type vm struct {
	k    *kernel.Kernel
	f    *fake
	stop func()
}

func start(t *testing.T, id model.VMID, d *data) *vm {
	f := &fake{data: d}
	k, err := kernel.New(nil, authority.New(id, "a").Spec(), kernel.Spec{
		Name: names.Store, Service: f, Subscribes: []string{message.KindAuthorityChanged},
	})
	if err != nil {
		t.Fatal(err)
	}
	end, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	return &vm{k: k, f: f, stop: sync.OnceFunc(func() { _ = end(nil) })}
}

func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func newData() *data {
	return &data{entries: map[string]message.StoreEntry{}, bound: map[string]uint64{}, leases: map[uint64]time.Time{}}
}

// TestHandover guards against a lost answer that costs the election, a drained holder that keeps its lease or
// leaves its log open, and a peer that waits for the expiry of the lease.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := newData()
		d.loseAnswers = 2
		a := start(t, "v0", d)
		settle(time.Second)
		g.Expect(a.f.last).To(gomega.Equal(message.AuthorityChanged{Holder: true, Epoch: model.Epoch{Store: 1}, Domain: "a"}))
		b := start(t, "v1", d)
		defer b.stop()
		settle(10 * time.Second)
		g.Expect(b.f.changes).To(gomega.BeZero())
		a.stop()
		settle(500 * time.Millisecond)
		g.Expect(a.f.closed).To(gomega.Equal([]model.Epoch{{Store: 1}}))
		g.Expect(b.f.last.Epoch).To(gomega.Equal(model.Epoch{Store: 2}))
	})
}

// TestOutage guards against a holder that steps down because the store is away, a failure domain without a
// holder when the holder dies meanwhile, a claimant that keeps its claim once the store is back, and a VM
// that stays holder after a worker refused its epoch.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := newData()
		a := start(t, "v0", d)
		defer a.stop()
		settle(time.Second)
		b := start(t, "v1", d)
		defer b.stop()
		settle(time.Second)
		d.set(func() { d.down = true })
		settle(20 * time.Second)
		g.Expect(a.f.last.Epoch).To(gomega.Equal(model.Epoch{Store: 1}))
		g.Expect(a.f.changes).To(gomega.Equal(1))
		g.Expect(b.f.changes).To(gomega.BeZero(), "the holder was never heard")
		dead := model.Member{VM: "v0", Domain: "a", Holder: model.Epoch{Store: 1}, LastHeard: time.Now().Add(-4 * time.Second)}
		g.Expect(b.k.Send(names.Store, publish{message.MembersChanged{Members: []model.Member{dead}}})).To(gomega.Succeed())
		settle(time.Second)
		g.Expect(b.f.last.Epoch).To(gomega.Equal(model.Epoch{Store: 1, Outage: 1}))
		g.Expect(a.k.Send(names.Authority, message.EpochRefused{Epoch: b.f.last.Epoch})).To(gomega.Succeed())
		settle(time.Second)
		g.Expect(a.f.last.Holder).To(gomega.BeFalse())
		d.set(func() { d.down = false })
		settle(10 * time.Second)
		holders := 0
		for _, v := range []*vm{a, b} {
			if v.f.last.Holder {
				holders++
				g.Expect(v.f.last.Epoch).To(gomega.Equal(model.Epoch{Store: 2}))
			}
		}
		g.Expect(holders).To(gomega.Equal(1))
	})
}
