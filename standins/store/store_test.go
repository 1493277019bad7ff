package store

import (
	"context"
	"errors"
	"maps"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("100")
	os.Exit(m.Run())
}

// startStore starts a store in a synctest bubble and returns its kernel and a function that stops it.
func startStore() (*kernel.Kernel, func()) {
	k, err := kernel.New(nil, kernel.Spec{Name: "state", Service: New()})
	if err != nil {
		panic(err)
	}
	stop, err := k.Start()
	if err != nil {
		panic(err)
	}
	return k, func() { _ = stop(nil) }
}

// httpStatus returns the HTTP status of an error, 0 for success and -1 for a connection closed without an answer.
func httpStatus(err error) int {
	var s *host.StatusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &s):
		return s.Status
	default:
		return -1
	}
}

// oracle is a reference model of the store: a map of entries with the expiry times of the leases.
type oracle struct {
	entries      map[string]kv.Entry
	leaseOf      map[string]kv.LeaseID
	expiresAt    map[kv.LeaseID]time.Time
	usedVersions map[uint64]bool
	saved        *oracle
}

func newOracle() *oracle {
	return &oracle{
		entries: map[string]kv.Entry{}, leaseOf: map[string]kv.LeaseID{},
		expiresAt: map[kv.LeaseID]time.Time{}, usedVersions: map[uint64]bool{},
	}
}

// expire removes expired leases and their keys.
func (o *oracle) expire() {
	for id, at := range o.expiresAt {
		if !at.After(time.Now()) {
			o.endLease(id)
		}
	}
}

func (o *oracle) endLease(id kv.LeaseID) {
	delete(o.expiresAt, id)
	for key, owner := range o.leaseOf {
		if owner == id {
			delete(o.entries, key)
			delete(o.leaseOf, key)
		}
	}
}

func (o *oracle) restore() {
	o.entries, o.leaseOf = maps.Clone(o.saved.entries), maps.Clone(o.saved.leaseOf)
	for key, id := range o.saved.leaseOf {
		if _, alive := o.expiresAt[id]; !alive {
			delete(o.entries, key)
			delete(o.leaseOf, key)
		}
	}
}

// wantStatus returns the expected HTTP status of a write, 0 for success.
func (o *oracle) wantStatus(key string, expect uint64, id kv.LeaseID) int {
	if _, alive := o.expiresAt[id]; id != 0 && !alive {
		return kv.StatusLeaseExpired
	}
	if o.entries[key].Version != expect {
		return kv.StatusConflict
	}
	return 0
}

const ttl = 2 * time.Second

// TestAgainstOracle guards against a stand-in that breaks compare-and-swap, leases, watches or the rule that
// no version is used twice, also when answers are lost or a snapshot is restored. The tests of the system
// rely on this stand-in.
func TestAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// rapid asks a *testing.T for its deadline, which is not permitted in a bubble.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			k, stop := startStore()
			defer stop()
			o := newOracle()
			key := rapid.SampledFrom([]string{"a", "b", "c"})
			lost := false
			// send makes a call; a write whose answer is lost counts as a success, because it took effect.
			send := func(path string, c kv.Call) (kernel.Message, int) {
				m, err := k.Call(context.Background(), "state", call{path: path, Call: c})
				got := httpStatus(err)
				if lost && got == -1 && path != kv.PathGet {
					lost, got = false, 0
				}
				return m, got
			}
			control := func(m kernel.Message) {
				if _, err := k.Call(context.Background(), "state", m); err != nil {
					rt.Fatal(err)
				}
			}
			read := func(key string) kv.Entry {
				m, _ := send(kv.PathGet, kv.Call{Write: kv.Write{Key: key}})
				return kv.Entry(m.(entryReply))
			}
			lease := func() kv.LeaseID {
				ids := append([]kv.LeaseID{0, 9999}, slices.Sorted(maps.Keys(o.expiresAt))...)
				return rapid.SampledFrom(ids).Draw(rt, "lease")
			}
			expect := func(key string) uint64 {
				return rapid.SampledFrom([]uint64{o.entries[key].Version, 0, 1}).Draw(rt, "expect")
			}
			rt.Repeat(map[string]func(*rapid.T){
				"put": func(rt *rapid.T) {
					w := kv.Write{Key: key.Draw(rt, "key"), Lease: lease(), Value: rapid.SliceOfN(rapid.Byte(), 1, 2).Draw(rt, "value")}
					w.Expect = expect(w.Key)
					want := o.wantStatus(w.Key, w.Expect, w.Lease)
					if _, got := send(kv.PathPut, kv.Call{Write: w}); got != want {
						rt.Fatalf("put: status %d, want %d", got, want)
					}
					if want != 0 {
						return
					}
					now := read(w.Key)
					if o.usedVersions[now.Version] || !slices.Equal(now.Value, w.Value) {
						rt.Fatalf("after put: %+v", now)
					}
					o.usedVersions[now.Version], o.entries[w.Key] = true, now
					delete(o.leaseOf, w.Key)
					if w.Lease != 0 {
						o.leaseOf[w.Key] = w.Lease
					}
				},
				"delete": func(rt *rapid.T) {
					w := kv.Write{Key: key.Draw(rt, "key")}
					w.Expect = expect(w.Key)
					want := o.wantStatus(w.Key, w.Expect, 0)
					if _, got := send(kv.PathDelete, kv.Call{Write: w}); got != want {
						rt.Fatalf("delete: status %d, want %d", got, want)
					}
					if want == 0 {
						delete(o.entries, w.Key)
						delete(o.leaseOf, w.Key)
					}
				},
				"grant": func(rt *rapid.T) {
					lost = false
					control(Faults{})
					m, _ := send(kv.PathGrant, kv.Call{TTLMS: ttl.Milliseconds()})
					o.expiresAt[m.(leaseReply).ID] = time.Now().Add(ttl)
				},
				"keep alive": func(rt *rapid.T) {
					id := lease()
					_, alive := o.expiresAt[id]
					_, got := send(kv.PathKeepAlive, kv.Call{Write: kv.Write{Lease: id}})
					if (got == 0) != alive {
						rt.Fatalf("keep alive: status %d, alive %v", got, alive)
					}
					if alive {
						o.expiresAt[id] = time.Now().Add(ttl)
					}
				},
				"revoke": func(rt *rapid.T) {
					id := lease()
					send(kv.PathRevoke, kv.Call{Write: kv.Write{Lease: id}})
					o.endLease(id)
				},
				"lose next answer": func(rt *rapid.T) { control(Faults{LoseNextAnswers: 1}); lost = true },
				"snapshot": func(rt *rapid.T) {
					control(snapshotRequest{})
					o.saved = &oracle{entries: maps.Clone(o.entries), leaseOf: maps.Clone(o.leaseOf)}
				},
				"restore": func(rt *rapid.T) {
					if o.saved != nil {
						control(restoreRequest{})
						o.restore()
					}
				},
				"wait": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms"))*time.Millisecond + time.Microsecond)
					synctest.Wait()
					o.expire()
				},
				"watch": func(rt *rapid.T) {
					name := key.Draw(rt, "key")
					started, after := time.Now(), rapid.SampledFrom([]uint64{o.entries[name].Version, 7777}).Draw(rt, "after")
					m, _ := send(kv.PathWatch, kv.Call{Write: kv.Write{Key: name}, After: after, WaitMS: 700})
					changed := after != o.entries[name].Version
					o.expire()
					got := kv.Entry(m.(entryReply))
					if got.Version != o.entries[name].Version || changed && time.Since(started) != 0 {
						rt.Fatalf("watch after %d: %+v after %s", after, got, time.Since(started))
					}
					if got.Version == after && time.Since(started) != 700*time.Millisecond {
						rt.Fatalf("unchanged watch ended after %s", time.Since(started))
					}
				},
				"": func(rt *rapid.T) {
					for _, name := range []string{"a", "b", "c"} {
						if got := read(name); got.Version != o.entries[name].Version {
							rt.Fatalf("%s is %+v, want %+v", name, got, o.entries[name])
						}
					}
				},
			})
		})
	})
}

// TestFaults guards against faults that have no effect or affect the wrong callers, and against calls under faults
// that are not counted.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k, stop := startStore()
		defer stop()
		send := func(path, source string, w kv.Write) int {
			_, err := k.Call(t.Context(), "state", call{path: path, Call: kv.Call{Write: w, Source: source, WaitMS: 60_000}})
			return httpStatus(err)
		}
		control := func(f Faults) {
			_, err := k.Call(t.Context(), "state", f)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		watched := make(chan int, 2)
		for _, source := range []string{"a", "b"} {
			go func() { watched <- send(kv.PathWatch, source, kv.Write{Key: "k"}) }()
		}
		synctest.Wait()
		control(Faults{CutDomains: []string{"a"}, RecordWrites: true})
		g.Expect(<-watched).To(gomega.Equal(-1), "the watch of the cut domain ends")
		g.Expect(send(kv.PathPut, "a", kv.Write{Key: "k"})).To(gomega.Equal(-1))
		g.Expect(send(kv.PathPut, "b", kv.Write{Key: "k"})).To(gomega.Equal(0))
		g.Expect(<-watched).To(gomega.Equal(0), "the other watch is answered")
		control(Faults{CallDelayMS: 800, LoseAnswerShare: 1, RecordWrites: true})
		started := time.Now()
		g.Expect(send(kv.PathPut, "b", kv.Write{Key: "k", Expect: 1})).To(gomega.Equal(-1))
		g.Expect(time.Since(started)).To(gomega.Equal(800 * time.Millisecond))
		control(Faults{Outage: true})
		g.Expect(send(kv.PathGet, "b", kv.Write{Key: "k"})).To(gomega.Equal(-1))
		control(Faults{})
		g.Expect(send(kv.PathPut, "b", kv.Write{Key: "k", Value: make([]byte, kv.MaxValueBytes+1), Expect: 2})).To(gomega.Equal(413))
		g.Expect(send(kv.PathPut, "b", kv.Write{Key: string(make([]byte, MaxKeyBytes+1))})).To(gomega.Equal(400))
		counts, err := kernel.Call[Counts](t.Context(), k, "state", countsQuery{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counts.Operations).To(gomega.Equal(map[string]int{"put": 5, "get": 1, "watch": 2}))
		g.Expect(counts.Sources["a"]).To(gomega.Equal(map[string]int{"put": 1, "watch": 1}))
		writes, err := kernel.Call[writesReply](t.Context(), k, "state", writesQuery{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(writes).To(gomega.HaveLen(2))
		g.Expect([]any{writes[0].Version, writes[0].Lost, writes[1].Version, writes[1].Lost}).To(gomega.Equal([]any{uint64(1), false, uint64(2), true}))
	})
}

// TestLeaseJitter guards against leases that expire outside the range of the jitter.
func TestLeaseJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k, stop := startStore()
		defer stop()
		_, err := k.Call(t.Context(), "state", Faults{LeaseJitterMS: 500, Seed: 3})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 50 {
			started := time.Now()
			id, err := kernel.Call[leaseReply](t.Context(), k, "state", call{path: kv.PathGrant, Call: kv.Call{TTLMS: ttl.Milliseconds()}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			put := call{path: kv.PathPut, Call: kv.Call{Write: kv.Write{Key: "k", Lease: id.ID}}}
			entry, err := kernel.Call[entryReply](t.Context(), k, "state", put)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			watch := call{path: kv.PathWatch, Call: kv.Call{Write: kv.Write{Key: "k"}, After: entry.Version, WaitMS: 60_000}}
			_, err = k.Call(t.Context(), "state", watch)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(started)).To(gomega.BeNumerically("~", ttl, 500*time.Millisecond))
		}
	})
}

// TestUnchangedWatch guards against a watch without a change that sends the value again, although the caller has it,
// and against an answer that lacks the version.
func TestUnchangedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k, stop := startStore()
		defer stop()
		put := call{path: kv.PathPut, Call: kv.Call{Write: kv.Write{Key: "k", Value: []byte("v")}}}
		entry, err := kernel.Call[entryReply](t.Context(), k, "state", put)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		watch := func(after uint64) entryReply {
			c := call{path: kv.PathWatch, Call: kv.Call{Write: kv.Write{Key: "k"}, After: after, WaitMS: 400}}
			answer, err := kernel.Call[entryReply](t.Context(), k, "state", c)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return answer
		}
		g.Expect(watch(0)).To(gomega.Equal(entryReply{Key: "k", Value: []byte("v"), Version: entry.Version}))
		g.Expect(watch(entry.Version)).To(gomega.Equal(entryReply{Key: "k", Version: entry.Version, Unchanged: true}))
	})
}
