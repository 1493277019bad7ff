package intake

import (
	"testing"
	"testing/synctest"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// holderRelay answers for the holder: with the state of a stored job or, if knows is not set, with a failure.
type holderRelay struct {
	store *memoryStore
	knows bool
}

func (holderRelay) Start(*kernel.Context) error { return nil }
func (holderRelay) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (h holderRelay) Handle(_ *kernel.Context, e kernel.Envelope) {
	call, ok := e.Body.(message.RelayCall)
	if !ok {
		return
	}
	q, ok := call.Body.(message.StateQuery)
	if !ok {
		// Notifications arrive beside the next call, so that they must not use the store.
		e.Reply(message.Done{})
		return
	}
	item, stored := h.store.items[records.JobKey(q.ID)]
	if !stored || !h.knows {
		e.Fail(failure.New(failure.NoHolder, "none"))
		return
	}
	job, err := records.Decode[workload.Job](item.Key, item.Value)
	if err != nil {
		e.Fail(err)
		return
	}
	e.Reply(message.StateReply{State: workload.StateQueued, Owner: job.Owner()})
}

func ownerConfig(accounts ...workload.AccountConfig) *workload.Config {
	return &workload.Config{
		Version: 1, Accounts: accounts,
		Routes: []workload.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: "pool"}, {Name: "open", Host: "h", Prefix: "/open/", Pool: "pool", Public: true}},
	}
}

// TestJobsOfOtherAccounts guards against a key that reads, cancels or replaces the jobs of another account, and against a
// caller who is kept from the jobs of its own account after its keys or the name of the account have changed.
func TestJobsOfOtherAccounts(t *testing.T) {
	a, b := workload.AccountConfig{Name: "a", Keys: []string{"k", "k2"}}, workload.AccountConfig{Name: "b", Keys: []string{"other"}}
	for _, c := range []struct {
		name string
		// The job is submitted with submitKey at submitPrefix under a and b, and is then called under the configuration.
		submitPrefix, submitKey string
		config                  *workload.Config
		prefix, key             string
		allowed                 bool
		// unknown is set if the key is not known to the configuration.
		unknown bool
	}{
		{"same key", "/q/", "k", ownerConfig(a, b), "/q/", "k", true, false},
		{"other key of the account", "/q/", "k", ownerConfig(a, b), "/q/", "k2", true, false},
		{"other account", "/q/", "k", ownerConfig(a, b), "/q/", "other", false, false},
		{"unknown key", "/q/", "k", ownerConfig(a, b), "/q/", "x", false, true},
		{"other account on a public route", "/q/", "k", ownerConfig(a, b), "/open/", "other", false, false},
		{"no key on a public route", "/q/", "k", ownerConfig(a, b), "/open/", "", false, false},
		{"job of a public route", "/open/", "", ownerConfig(a, b), "/open/", "", true, false},
		{"job of a public route with a key", "/open/", "k", ownerConfig(a, b), "/open/", "", true, false},
		{
			"key moved to another account", "/q/", "k",
			ownerConfig(workload.AccountConfig{Name: "a", Keys: []string{"k2"}}, workload.AccountConfig{Name: "b", Keys: []string{"k"}}), "/q/", "k", true, false,
		},
		{"account renamed", "/q/", "k", ownerConfig(workload.AccountConfig{Name: "a2", Keys: []string{"k", "k2"}}, b), "/q/", "k2", true, false},
		{"key replaced", "/q/", "k", ownerConfig(workload.AccountConfig{Name: "a", Keys: []string{"k3"}}, b), "/q/", "k3", true, false},
		{"key removed", "/q/", "k", ownerConfig(workload.AccountConfig{Name: "a", Keys: []string{"k3"}}, b), "/q/", "k", false, true},
	} {
		for _, holderKnows := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				first := startVMWith(t, store, holderRelay{store, holderKnows}, ownerConfig(a, b))
				vm := startVMWith(t, store, holderRelay{store, holderKnows}, c.config)
				synctest.Wait()
				submission := message.SubmitCall{Job: workload.Job{Steps: []workload.Step{{Count: 1}}}}
				call := func(prefix, key string) message.ClientCall {
					m := testCall()
					m.Path, m.Key = prefix+string(testJobID), key
					return m
				}
				submission.ClientCall = call(c.submitPrefix, c.submitKey)
				if _, err := first.Call(t.Context(), names.Intake, submission); err != nil {
					t.Fatalf("%s: submission: %v", c.name, err)
				}
				submission.ClientCall = call(c.prefix, c.key)
				for _, verb := range []struct {
					m      kernel.Message
					reason failure.Reason
				}{
					{submission, failure.KeyReused},
					{message.ReadCall{ClientCall: call(c.prefix, c.key)}, failure.JobGone},
					{message.CancelCall{ClientCall: call(c.prefix, c.key)}, failure.JobGone},
				} {
					_, err := vm.Call(t.Context(), names.Intake, verb.m)
					want := verb.reason
					if c.unknown {
						want = failure.Unauthorized
					}
					if f := failureOf(err); c.allowed != (f == nil) || f != nil && f.Reason != want {
						t.Errorf("%s, holder knows %v: %s: %v, want success %v or %s", c.name, holderKnows, verb.m.Kind(), f, c.allowed, want)
					}
				}
				if _, cancelled := store.items[records.CancelKey(testJobID)]; cancelled != c.allowed {
					t.Errorf("%s: cancellation stored: %v", c.name, cancelled)
				}
			})
		}
	}
}
