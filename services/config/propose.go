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
	// proposalTimeout bounds the attempts to find out whether a write took effect.
	proposalTimeout = 5 * time.Second
	// proposalRetryDelay is the wait between two attempts.
	proposalRetryDelay = 200 * time.Millisecond
)

// proposal is an operator's change on its way to the store.
type proposal struct {
	env    kernel.Envelope
	change message.ConfigPropose
	next   model.Config
	value  []byte
	// base is the version of the store entry that the change replaces.
	base     uint64
	deadline time.Time
}

type proposalRetry struct{ p *proposal }

// Kind implements kernel.Message.
func (proposalRetry) Kind() string { return "config_proposal_retry" }

// propose reads the current document, applies the change and writes the result.
func (s *Service) propose(c *kernel.Context, e kernel.Envelope, m message.ConfigPropose) {
	p := &proposal{env: e, change: m, deadline: time.Now().Add(proposalTimeout)}
	asked := time.Now()
	c.Request(names.Store, message.StoreGet{Key: Key}, func(r kernel.Message, err error) {
		entry, ok := r.(message.StoreEntry)
		if err != nil || !ok {
			s.refuse(p, failure.New(failure.StoreUnavailable, "%v", err))
			return
		}
		if !s.learnEntry(c, entry, asked) && m.Expect < s.view.Doc.Version {
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

// write applies the change to the current document, whose store entry has the version base.
func (s *Service) write(c *kernel.Context, p *proposal, current model.Config, base uint64) {
	next, fail := config.Propose(current, p.change.Expect, p.change.Change, uuid.NewString(), s.domains())
	if fail != nil {
		s.refuse(p, fail)
		return
	}
	value, err := json.Marshal(next)
	if err != nil || len(value) > kv.MaxValue {
		s.refuse(p, failure.New(failure.ConfigInvalid, "the document does not fit a store value of %d bytes", kv.MaxValue))
		return
	}
	p.next, p.value, p.base = next, value, base
	s.put(c, p)
}

func (s *Service) put(c *kernel.Context, p *proposal) {
	asked := time.Now()
	c.Request(names.Store, message.StorePut{Key: Key, Value: p.value, Expect: p.base}, func(r kernel.Message, err error) {
		var conflict *kv.ConflictError
		var lost *kv.UnavailableError
		switch {
		case err == nil:
			s.accept(c, p, asked)
		case errors.As(err, &conflict):
			s.resolve(c, p, message.StoreEntry{Value: conflict.Current.Value, Version: conflict.Current.Version}, asked)
		case errors.As(err, &lost) && lost.MayHaveApplied:
			s.metrics.CountRetry(failure.RetryStoreAnswerLost)
			s.retry(c, p)
		default:
			s.retry(c, p)
		}
	})
}

// retry reads the store again later, because a write without an answer may have taken effect.
func (s *Service) retry(c *kernel.Context, p *proposal) {
	if time.Now().After(p.deadline) {
		s.refuse(p, failure.New(failure.StoreUnavailable, "the store did not tell whether version %d was written", p.next.Version).WithOutcome(failure.Unknown))
		return
	}
	c.After(proposalRetryDelay, proposalRetry{p: p})
}

func (s *Service) readBack(c *kernel.Context, p *proposal) {
	asked := time.Now()
	c.Request(names.Store, message.StoreGet{Key: Key}, func(r kernel.Message, err error) {
		entry, ok := r.(message.StoreEntry)
		if err != nil || !ok {
			s.retry(c, p)
			return
		}
		s.resolve(c, p, entry, asked)
	})
}

// resolve decides a proposal by the entry that the store holds.
func (s *Service) resolve(c *kernel.Context, p *proposal, entry message.StoreEntry, at time.Time) {
	found, ok := decode(entry)
	if !ok {
		s.retry(c, p)
		return
	}
	switch config.Resolve(p.next, found) {
	case config.Accepted:
		s.learnEntry(c, entry, at)
		s.accept(c, p, at)
	case config.Rejected:
		s.learnEntry(c, entry, at)
		s.refuse(p, failure.New(failure.ConfigConflict, "another change became version %d first", p.next.Version))
	case config.Pending:
		if entry.Version != p.base || time.Now().After(p.deadline) {
			s.retry(c, p)
			return
		}
		// The write is sent with the same expected version, so that it takes effect at most once even if
		// the earlier one is still on its way.
		s.put(c, p)
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
