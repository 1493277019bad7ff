package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

const (
	// proposalTimeout bounds the time from a proposal to the last attempt to find out whether its write took effect.
	proposalTimeout = 5 * time.Second
	// proposalRetryDelay is the delay before each of these attempts.
	proposalRetryDelay = 200 * time.Millisecond
)

// proposal is an operator's change that has not been accepted or refused yet.
type proposal struct {
	env    kernel.Envelope
	change message.ConfigPropose
	next   model.Config
	value  []byte
	// baseVersion is the version of the store entry that the write replaces.
	baseVersion uint64
	deadline    time.Time
}

type proposalRetry struct{ p *proposal }

// Kind implements kernel.Message.
func (proposalRetry) Kind() string { return "config_proposal_retry" }

// propose reads the current document from the store, applies the change and writes the result.
func (s *Service) propose(c *kernel.Context, e kernel.Envelope, m message.ConfigPropose) {
	p := &proposal{env: e, change: m, deadline: time.Now().Add(proposalTimeout)}
	requestedAt := time.Now()
	c.Request(names.Store, message.StoreGet{Key: Key}, func(r kernel.Message, err error) {
		entry, ok := r.(message.StoreEntry)
		if err != nil || !ok {
			s.refuse(p, failure.New(failure.StoreUnavailable, "%v", err))
			return
		}
		if !s.learnStoreEntry(c, entry, requestedAt) && m.Expect < s.view.Doc.Version {
			s.refuse(p, failure.New(failure.ConfigConflict, "version %d is in force; the change was made against version %d", s.view.Doc.Version, m.Expect))
			return
		}
		current, ok := decode(entry)
		if !ok || config.Newer(s.view.Doc, current) {
			s.refuse(p, failure.New(failure.StoreUnavailable, "the store holds an older or unreadable configuration"))
			return
		}
		s.write(c, p, current, entry.Version)
	})
}

// write applies the change to the current document, whose store entry has the version baseVersion, and writes the
// result.
func (s *Service) write(c *kernel.Context, p *proposal, current model.Config, baseVersion uint64) {
	next, f := config.Propose(current, p.change.Expect, p.change.Change, uuid.NewString(), s.knownDomains())
	if f != nil {
		s.refuse(p, f)
		return
	}
	value, err := json.Marshal(next)
	if err != nil || len(value) > kv.MaxValueBytes {
		s.refuse(p, failure.New(failure.ConfigInvalid, "the document does not fit a store value of %d bytes", kv.MaxValueBytes))
		return
	}
	p.next, p.value, p.baseVersion = next, value, baseVersion
	s.sendWrite(c, p)
}

func (s *Service) sendWrite(c *kernel.Context, p *proposal) {
	requestedAt := time.Now()
	c.Request(names.Store, message.StorePut{Key: Key, Value: p.value, Expect: p.baseVersion}, func(r kernel.Message, err error) {
		var conflict *kv.ConflictError
		var unavailable *kv.UnavailableError
		switch {
		case err == nil:
			s.accept(c, p, requestedAt)
		case errors.As(err, &conflict):
			s.resolve(c, p, message.StoreEntry{Value: conflict.Current.Value, Version: conflict.Current.Version}, requestedAt)
		case errors.As(err, &unavailable) && unavailable.MayHaveApplied:
			s.metrics.CountRetry(failure.RetryStoreAnswerLost)
			s.scheduleReadBack(c, p)
		default:
			s.scheduleReadBack(c, p)
		}
	})
}

// scheduleReadBack schedules another read of the store, because a write without an answer may have taken effect. After
// proposalTimeout it refuses the proposal with an unknown outcome.
func (s *Service) scheduleReadBack(c *kernel.Context, p *proposal) {
	if time.Now().After(p.deadline) {
		s.refuse(p, failure.New(failure.StoreUnavailable, "the store did not tell whether version %d was written", p.next.Version).WithOutcome(failure.Unknown))
		return
	}
	c.SendAfter(proposalRetryDelay, proposalRetry{p: p})
}

func (s *Service) readBack(c *kernel.Context, p *proposal) {
	requestedAt := time.Now()
	c.Request(names.Store, message.StoreGet{Key: Key}, func(r kernel.Message, err error) {
		entry, ok := r.(message.StoreEntry)
		if err != nil || !ok {
			s.scheduleReadBack(c, p)
			return
		}
		s.resolve(c, p, entry, requestedAt)
	})
}

// resolve accepts, refuses or retries a proposal, depending on the entry that the store holds.
func (s *Service) resolve(c *kernel.Context, p *proposal, entry message.StoreEntry, at time.Time) {
	found, ok := decode(entry)
	if !ok {
		s.scheduleReadBack(c, p)
		return
	}
	switch config.Resolve(p.next, found) {
	case config.Accepted:
		s.learnStoreEntry(c, entry, at)
		s.accept(c, p, at)
	case config.Rejected:
		s.learnStoreEntry(c, entry, at)
		s.refuse(p, failure.New(failure.ConfigConflict, "another change became version %d first", p.next.Version))
	case config.Pending:
		if entry.Version != p.baseVersion || time.Now().After(p.deadline) {
			s.scheduleReadBack(c, p)
			return
		}
		// The write is sent again with the same expected version, so that it takes effect at most once even if the earlier
		// one still arrives.
		s.sendWrite(c, p)
	case config.Unresolved:
		s.refuse(p, failure.New(failure.StoreUnavailable, "too many changes followed version %d", p.next.Version).WithOutcome(failure.Unknown))
	}
}

func (s *Service) accept(c *kernel.Context, p *proposal, at time.Time) {
	s.learn(c, p.next, at)
	klog.InfoS("configuration change accepted", "vm", s.self.VM, "version", p.next.Version)
	p.env.Reply(message.ConfigReply{Config: p.next, Age: s.view.Age(time.Now())})
}

func (s *Service) refuse(p *proposal, f *failure.Error) {
	p.env.Fail(s.metrics.CountRefusal(f))
}
