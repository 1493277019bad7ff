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

// fakeStore is an in-memory store that is shared by several VMs.
type fakeStore struct {
	mu            sync.Mutex
	entries       map[string]message.StoreEntry
	keyLeases     map[string]uint64
	leaseExpiries map[uint64]time.Time
	version       uint64
	down          bool
	// loseAnswers is the number of puts whose answer is lost after they took effect.
	loseAnswers int
}

var errDown = &kv.UnavailableError{MayHaveApplied: true, Cause: errors.New("outage")}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) expireLeases() {
	for id, until := range s.leaseExpiries {
		if !time.Now().Before(until) {
			delete(s.leaseExpiries, id)
		}
	}
	for key, id := range s.keyLeases {
		if _, ok := s.leaseExpiries[id]; !ok {
			delete(s.entries, key)
			delete(s.keyLeases, key)
		}
	}
}

func (s *fakeStore) call(m kernel.Message) (kernel.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	s.expireLeases()
	s.version++
	switch m := m.(type) {
	case message.StoreGet:
		return s.entries[m.Key], nil
	case message.StoreWatch:
		return s.entries[m.Key], nil
	case message.StorePut:
		if e := s.entries[m.Key]; e.Version != m.Expect {
			return nil, &kv.ConflictError{Current: kv.Entry(e)}
		}
		s.entries[m.Key] = message.StoreEntry{Key: m.Key, Value: m.Value, Version: s.version}
		if m.Lease != 0 {
			s.keyLeases[m.Key] = m.Lease
		}
		if s.loseAnswers > 0 {
			s.loseAnswers--
			return nil, errDown
		}
		return s.entries[m.Key], nil
	case message.StoreGrant:
		s.leaseExpiries[s.version] = time.Now().Add(m.TTL)
		return message.StoreLease{Lease: s.version}, nil
	case message.StoreKeepAlive:
		if _, ok := s.leaseExpiries[m.Lease]; !ok {
			return nil, &kv.LeaseExpiredError{Lease: kv.LeaseID(m.Lease)}
		}
		s.leaseExpiries[m.Lease] = time.Now().Add(3 * time.Second)
	case message.StoreRevoke:
		delete(s.leaseExpiries, m.Lease)
	}
	return message.Done{}, nil
}

// pollDue is due when a watch reads the store again.
type pollDue struct {
	env         kernel.Envelope
	retriesLeft int
}

func (pollDue) Kind() string { return "poll_due" }

type publishRequest struct{ kernel.Message }

// fakeServices stands for the store and membership services of one VM.
type fakeServices struct {
	store      *fakeStore
	lastChange message.AuthorityChanged
	changes    int
	closed     []model.Epoch
}

func (f *fakeServices) Start(*kernel.Context) error { return nil }
func (f *fakeServices) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (f *fakeServices) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case publishRequest:
		c.Publish(m.Message)
	case message.AuthorityChanged:
		f.lastChange = m
		f.changes++
	case message.LogClose:
		f.closed = append(f.closed, m.Epoch)
		e.Reply(message.Done{})
	case message.StoreWatch:
		f.pollWatch(c, pollDue{env: e, retriesLeft: 30})
	case pollDue:
		f.pollWatch(c, m)
	default:
		if r, err := f.store.call(m); err != nil {
			e.Fail(err)
		} else {
			e.Reply(r)
		}
	}
}

func (f *fakeServices) pollWatch(c *kernel.Context, d pollDue) {
	m := d.env.Body.(message.StoreWatch)
	r, err := f.store.call(m)
	switch entry, _ := r.(message.StoreEntry); {
	case err != nil:
		d.env.Fail(err)
	case entry.Version != m.After:
		d.env.Reply(entry)
	case d.retriesLeft == 0:
		d.env.Reply(message.StoreEntry{Key: m.Key, Version: m.After, Unchanged: true})
	default:
		c.SendAfter(100*time.Millisecond, pollDue{env: d.env, retriesLeft: d.retriesLeft - 1})
	}
}

type vm struct {
	kernel   *kernel.Kernel
	services *fakeServices
	stop     func()
}

func start(t *testing.T, id model.VMID, store *fakeStore) *vm {
	f := &fakeServices{store: store}
	k, err := kernel.New(nil, authority.New(id, "a").Spec(), kernel.Spec{
		Name: names.Store, Service: f, Subscriptions: []string{message.KindAuthorityChanged},
	})
	if err != nil {
		t.Fatal(err)
	}
	end, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	return &vm{kernel: k, services: f, stop: sync.OnceFunc(func() { _ = end(nil) })}
}

func sleepAndWait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]message.StoreEntry{}, keyLeases: map[string]uint64{}, leaseExpiries: map[uint64]time.Time{}}
}

// TestHandover guards against a VM that loses the election because an answer was lost, a drained holder that keeps its
// lease or does not close its log, and a peer that takes over only after the lease has expired.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore()
		store.loseAnswers = 2
		a := start(t, "v0", store)
		sleepAndWait(time.Second)
		g.Expect(a.services.lastChange).To(gomega.Equal(message.AuthorityChanged{Holder: true, Epoch: model.Epoch{Store: 1}, Domain: "a"}))
		b := start(t, "v1", store)
		defer b.stop()
		sleepAndWait(10 * time.Second)
		g.Expect(b.services.changes).To(gomega.BeZero())
		a.stop()
		sleepAndWait(500 * time.Millisecond)
		g.Expect(a.services.closed).To(gomega.Equal([]model.Epoch{{Store: 1}}))
		g.Expect(b.services.lastChange.Epoch).To(gomega.Equal(model.Epoch{Store: 2}))
	})
}

// TestOutage guards against a holder that steps down during a store outage, a failure domain that stays without a
// holder if the holder fails during the outage, a holder of an outage epoch that keeps it once the store answers again,
// and a VM that remains the holder after a worker has refused its epoch.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore()
		a := start(t, "v0", store)
		defer a.stop()
		sleepAndWait(time.Second)
		b := start(t, "v1", store)
		defer b.stop()
		sleepAndWait(time.Second)
		store.update(func() { store.down = true })
		sleepAndWait(20 * time.Second)
		g.Expect(a.services.lastChange.Epoch).To(gomega.Equal(model.Epoch{Store: 1}))
		g.Expect(a.services.changes).To(gomega.Equal(1))
		g.Expect(b.services.changes).To(gomega.BeZero(), "no heartbeat of the holder was received")
		dead := model.Member{VM: "v0", Domain: "a", Holder: model.Epoch{Store: 1}, LastHeard: time.Now().Add(-4 * time.Second)}
		g.Expect(b.kernel.Send(names.Store, publishRequest{message.MembersChanged{Members: []model.Member{dead}}})).To(gomega.Succeed())
		sleepAndWait(time.Second)
		g.Expect(b.services.lastChange.Epoch).To(gomega.Equal(model.Epoch{Store: 1, Outage: 1}))
		g.Expect(a.kernel.Send(names.Authority, message.EpochRefused{Epoch: b.services.lastChange.Epoch})).To(gomega.Succeed())
		sleepAndWait(time.Second)
		g.Expect(a.services.lastChange.Holder).To(gomega.BeFalse())
		store.update(func() { store.down = false })
		sleepAndWait(10 * time.Second)
		holders := 0
		for _, v := range []*vm{a, b} {
			if v.services.lastChange.Holder {
				holders++
				g.Expect(v.services.lastChange.Epoch).To(gomega.Equal(model.Epoch{Store: 2}))
			}
		}
		g.Expect(holders).To(gomega.Equal(1))
	})
}
