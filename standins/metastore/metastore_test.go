package metastore

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// startStore starts a store with an HTTP server and returns the store and a client of it.
func startStore(t *testing.T) (*Store, *metastore.Client) {
	t.Helper()
	return startStoreWithin(t, time.Second)
}

// startStoreWithin is startStore for a client whose calls are bounded by timeout.
func startStoreWithin(t *testing.T, timeout time.Duration) (*Store, *metastore.Client) {
	t.Helper()
	s := New()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	server := httptest.NewServer(metastore.NewHandler(s))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		wg.Wait()
	})
	return s, metastore.NewClient(server.Listener.Addr().String(), timeout)
}

// TestTransactions guards against a transaction that is applied although a condition does not hold, and against a
// conflict that does not return the current entries. It also checks the error types of refused and lost calls.
func TestTransactions(t *testing.T) {
	s, c := startStore(t)
	ctx := context.Background()
	create := metastore.Txn{Conditions: []metastore.Condition{{Key: "a"}}, Writes: []metastore.Write{{Key: "a", Value: []byte("1")}}}
	first, err := c.Commit(ctx, create)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *metastore.ConflictError
	if _, err := c.Commit(ctx, create); !errors.As(err, &conflict) || len(conflict.Items) != 1 || conflict.Items[0].Created != first {
		t.Errorf("%v, want a conflict that names revision %d", err, first)
	}
	item, err := c.Get(ctx, "a")
	if err != nil || string(item.Value) != "1" || item.Revision != first {
		t.Errorf("%+v, %v", item, err)
	}
	var missing *metastore.NotFoundError
	if _, err := c.Get(ctx, "b"); !errors.As(err, &missing) {
		t.Errorf("%v, want a *NotFoundError", err)
	}
	if _, err := c.Commit(ctx, metastore.Txn{Writes: []metastore.Write{{Key: "empty"}}}); err != nil {
		t.Errorf("an empty value is refused: %v", err)
	}
	s.SetFaults(Faults{RefuseCalls: true})
	var notExecuted *metastore.NotExecutedError
	if _, err := c.Commit(ctx, create); !errors.As(err, &notExecuted) {
		t.Errorf("%v, want a *NotExecutedError", err)
	}
	s.SetFaults(Faults{LoseAnswerShare: 1})
	var unknown *metastore.UnknownOutcomeError
	if _, err := c.Commit(ctx, metastore.Txn{Writes: []metastore.Write{{Key: "b"}}}); !errors.As(err, &unknown) {
		t.Errorf("%v, want an *UnknownOutcomeError", err)
	}
}

// TestLeases guards against keys that remain after the end of their lease.
func TestLeases(t *testing.T) {
	s, c := startStore(t)
	ctx := context.Background()
	id, err := c.Grant(ctx, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Commit(ctx, metastore.Txn{Writes: []metastore.Write{{Key: "a", Lease: id}}}); err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(ctx, id); err != nil {
		t.Error(err)
	}
	if err := c.Revoke(ctx, id); err != nil {
		t.Error(err)
	}
	var ended *metastore.LeaseEndedError
	if err := c.Renew(ctx, id); !errors.As(err, &ended) {
		t.Errorf("%v, want a *LeaseEndedError", err)
	}
	if left := s.Entries("a"); len(left) != 0 {
		t.Errorf("%v remains after the end of its lease", left)
	}
}

// TestFollow guards against changes that a follower misses: those before and after its first list, and those during
// an outage in which the store compacts its history.
func TestFollow(t *testing.T) {
	s, c := startStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.Set("p/a", []byte("1"))
	seen := make(chan string, 100)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		c.ListAndWatch(ctx, "p/", 0, func(u metastore.Update) bool {
			for i := range u.Items {
				seen <- u.Items[i].Key
			}
			for i := range u.Events {
				seen <- u.Events[i].Key
			}
			return true
		})
	})
	waitFor := func(key string) {
		t.Helper()
		for {
			select {
			case got := <-seen:
				if got == key {
					return
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("no update of %s within 20 s", key)
			}
		}
	}
	waitFor("p/a")
	s.Set("p/b", nil)
	waitFor("p/b")
	s.SetFaults(Faults{RefuseCalls: true})
	s.Set("p/c", nil)
	s.Compact()
	s.SetFaults(Faults{})
	waitFor("p/c")
}

// TestLimits guards against a stand-in that takes what the platform's store refuses for good, and against a refusal that
// the client takes for a passing one.
func TestLimits(t *testing.T) {
	// The race detector makes the encoding of the largest value slow.
	_, c := startStoreWithin(t, 30*time.Second)
	ctx := context.Background()
	var entries []metastore.Write
	for i := range metastore.MaxTxnEntries + 1 {
		entries = append(entries, metastore.Write{Key: fmt.Sprint("k", i)})
	}
	for name, writes := range map[string][]metastore.Write{
		"value":   {{Key: "a", Value: make([]byte, metastore.MaxValueBytes+1)}},
		"key":     {{Key: strings.Repeat("a", metastore.MaxKeyBytes+1)}},
		"entries": entries,
		"orders":  {{Key: "op/config"}},
		"servers": {{Key: "servers/a"}},
	} {
		_, err := c.Commit(ctx, metastore.Txn{Writes: writes})
		var (
			rejected    *metastore.RejectedError
			notExecuted *metastore.NotExecutedError
		)
		if !errors.As(err, &rejected) || !errors.As(err, &notExecuted) {
			t.Errorf("%s: %v, want a *RejectedError that wraps a *NotExecutedError", name, err)
		}
	}
	largest := []metastore.Write{{Key: strings.Repeat("a", metastore.MaxKeyBytes), Value: make([]byte, metastore.MaxValueBytes)}}
	if _, err := c.Commit(ctx, metastore.Txn{Writes: largest}); err != nil {
		t.Errorf("the largest value: %v", err)
	}
}
