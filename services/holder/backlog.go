package holder

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// backlogEntry is the entry of the backlog as this VM knows it.
type backlogEntry struct {
	atLimit  []workload.Account
	revision int64
	// published is what other services of this VM know.
	published []workload.Account
}

func (b *backlogEntry) clear() { b.atLimit, b.revision = nil, 0 }

// backlogSaved is the result of a write of the entry.
type backlogSaved struct {
	termScoped
	atLimit  []workload.Account
	revision int64
	err      error
}

// Kind implements kernel.Message.
func (backlogSaved) Kind() string { return "holder_backlog_saved" }

func (s *Service) applyBacklogItem(item *metastore.Item) {
	r, err := records.Decode[records.Backlog](item.Key, item.Value)
	if err != nil {
		s.log("unreadable backlog entry ignored", "error", err.Error())
		s.metrics.CountEvent("records_unreadable", 1)
		return
	}
	if b := &s.election.backlog; item.Revision >= b.revision {
		b.atLimit, b.revision = r.AtLimit, item.Revision
	}
}

// publishBacklog tells the other services of this VM which accounts may not submit jobs.
func (s *Service) publishBacklog(c *kernel.Context) {
	b := &s.election.backlog
	if slices.Equal(b.atLimit, b.published) {
		return
	}
	b.published = slices.Clone(b.atLimit)
	s.log("accounts at the limit of accepted jobs changed", "accounts", b.published, "revision", b.revision)
	c.Publish(message.BacklogChanged{AtLimit: b.published})
}

// saveBacklog writes the accounts that may not submit jobs to the store, from which all VMs read them, if they have changed.
func (s *Service) saveBacklog(c *kernel.Context, now time.Time) {
	t, b := s.term, &s.election.backlog
	if t.backlogInFlight || now.Before(t.nextBacklogAt) {
		return
	}
	atLimit := t.fleet.AccountsAtBacklogLimit(s.settings.BacklogLimit, b.atLimit)
	if slices.Equal(atLimit, b.atLimit) {
		return
	}
	t.backlogInFlight = true
	out := backlogSaved{termScoped: termScoped{t.number}, atLimit: atLimit}
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: records.HolderKey, Revision: t.fence}},
		Writes:     []metastore.Write{{Key: records.BacklogKey, Value: records.Encode(records.Backlog{AtLimit: atLimit})}},
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out.revision, out.err = s.store.Commit(ctx, txn)
		return out
	})
}

func (s *Service) handleBacklogSaved(c *kernel.Context, m backlogSaved) {
	t, b := s.term, &s.election.backlog
	t.backlogInFlight = false
	if m.err != nil {
		s.metrics.CountEvent("backlog_save_failed", 1)
		s.log("saving the accounts at the limit of accepted jobs failed; retrying", "accounts", m.atLimit, "error", m.err.Error())
		t.nextBacklogAt = time.Now().Add(saveRetryDelay)
		s.schedulePlan(c, saveRetryDelay)
		return
	}
	if m.revision > b.revision {
		b.atLimit, b.revision = m.atLimit, m.revision
		s.publishBacklog(c)
	}
}
