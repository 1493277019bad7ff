package config

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// confirmWait bounds one watch of the store. The watcher's confirmation is at most two waits old.
	confirmWait = 400 * time.Millisecond
	// pullWait bounds one call to another VM. A confirmation that passes through two VMs is at most two
	// watches, two pulls and their round trips old, about 1.5 s, which stays under config.ValidFor.
	pullWait = 300 * time.Millisecond
	// aliveAge is the age up to which a confirmation that did not advance still counts as an answer. Two VMs
	// that are cut off together would otherwise ask each other until their confirmations expire.
	aliveAge = time.Second
	// confirmRetry is the delay before the next source is asked after a failure.
	confirmRetry = 100 * time.Millisecond
	// pullTimeout bounds a call to another VM beyond the wait. A round trip between regions takes 60 ms.
	pullTimeout = 300 * time.Millisecond
)

type confirmDue struct{}

// Kind implements kernel.Message.
func (confirmDue) Kind() string { return "config_confirm_due" }

// confirm asks the next source for the document.
func (s *Service) confirm(c *kernel.Context) {
	source := s.selector.Next(s.self, s.holder, s.members)
	if source.IsStore() {
		s.confirmFromStore(c)
		return
	}
	s.confirmFromPeer(c, source.VM)
}

// confirmed schedules the next confirmation after the answer of a source.
func (s *Service) confirmed(c *kernel.Context, ok bool) {
	if ok && !s.booting {
		s.selector.Answered()
		c.After(0, confirmDue{})
		return
	}
	s.selector.Failed()
	c.After(confirmRetry, confirmDue{})
}

func (s *Service) confirmFromStore(c *kernel.Context) {
	asked, base := time.Now(), s.stored
	c.Request(names.Store, message.StoreWatch{Key: Key, After: base.version, Wait: confirmWait}, func(m kernel.Message, err error) {
		entry, ok := m.(message.StoreEntry)
		switch {
		case err != nil || !ok || entry.Unchanged && entry.Version != base.version:
			// The store may come back with other data under the same version, so that the next watch reads the value.
			s.stored = stored{}
			s.confirmed(c, false)
		case entry.Unchanged:
			s.confirmed(c, s.learnStored(c, base, asked))
		default:
			s.confirmed(c, s.learnEntry(c, entry, asked))
		}
	})
}

// stored is the last read store entry. An unchanged watch stands for it. The zero value is the absent key.
type stored struct {
	version uint64
	doc     model.Config
	// unreadable is set if the value does not decode; doc is then empty.
	unreadable bool
}

// learnEntry applies a store entry that was current at a local time. It reports whether the entry confirms
// the applied document.
func (s *Service) learnEntry(c *kernel.Context, e message.StoreEntry, at time.Time) bool {
	doc, ok := decode(e)
	return s.learnStored(c, stored{version: e.Version, doc: doc, unreadable: !ok}, at)
}

func (s *Service) learnStored(c *kernel.Context, e stored, at time.Time) bool {
	s.stored = e
	if e.unreadable {
		klog.ErrorS(nil, "configuration in the store is not readable", "vm", s.self.VM, "store_version", e.version)
		return false
	}
	if config.Newer(s.view.Doc, e.doc) {
		// A document that was applied after the entry was asked for says nothing about the store.
		if s.applied.Before(at) {
			s.repair(c, e.version)
		}
		return false
	}
	s.learn(c, e.doc, at)
	// A watch of an absent key confirms that there is no document yet.
	return true
}

// decode reads a document; an absent key gives the empty document.
func decode(e message.StoreEntry) (model.Config, bool) {
	var doc model.Config
	if e.Version == 0 {
		return doc, true
	}
	err := json.Unmarshal(e.Value, &doc)
	return doc, err == nil
}

// repair writes the applied document to a store that has gone back to an older one.
func (s *Service) repair(c *kernel.Context, version uint64) {
	value, err := json.Marshal(s.view.Doc)
	if err != nil || s.repairing {
		return
	}
	s.repairing = true
	klog.InfoS("store holds an older configuration; writing the applied one", "vm", s.self.VM, "version", s.view.Doc.Version)
	s.metrics.CountEvent("config_store_repaired", 1)
	c.Request(names.Store, message.StorePut{Key: Key, Value: value, Expect: version}, func(kernel.Message, error) {
		s.repairing = false
	})
}

func (s *Service) confirmFromPeer(c *kernel.Context, vm model.VMID) {
	asked := time.Now()
	f := message.Forward{
		VM: vm, To: names.Config, Deadline: asked.Add(pullWait + pullTimeout), Idempotent: true,
		Body: message.ConfigPull{Have: s.view.Doc.WriteID, Wait: pullWait},
	}
	c.Request(names.Peers, f, func(m kernel.Message, err error) {
		answer, ok := m.(message.ConfigPulled)
		if err != nil || !ok {
			s.confirmed(c, false)
			return
		}
		before := s.view.Confirmed
		current := s.learnPulled(c, answer, asked)
		s.endBoot(c)
		alive := s.view.Confirmed.After(before) || s.view.Age(time.Now()) < aliveAge
		s.confirmed(c, current && alive)
	})
}

// learnPulled applies the answer of another VM. The answer was given after asked plus Held, so that the
// document was confirmed no earlier than Age before that. It reports whether the other VM applies the same
// document as this one then does.
func (s *Service) learnPulled(c *kernel.Context, a message.ConfigPulled, asked time.Time) bool {
	doc := a.Config
	if a.WriteID == s.view.Doc.WriteID {
		doc = s.view.Doc
	}
	s.learn(c, doc, asked.Add(a.Held-a.Age))
	return a.WriteID == s.view.Doc.WriteID
}

// pull is a call of another VM that waits for a newer document.
type pull struct {
	env    kernel.Envelope
	since  time.Time
	have   string
	cancel func()
}

type pullDue struct{ p *pull }

// Kind implements kernel.Message.
func (pullDue) Kind() string { return "config_pull_due" }

func (s *Service) pull(c *kernel.Context, e kernel.Envelope, m message.ConfigPull) {
	p := &pull{env: e, since: time.Now(), have: m.Have}
	s.pulls[p] = struct{}{}
	// A VM that is not confirmed itself answers at once, so that the caller soon asks another source.
	if s.view.Doc.WriteID != m.Have || !s.view.Fresh(time.Now()) {
		s.answerPull(p)
		return
	}
	p.cancel = c.After(min(m.Wait, pullWait), pullDue{p: p})
}

func (s *Service) answerPull(p *pull) {
	if _, waiting := s.pulls[p]; !waiting {
		return
	}
	delete(s.pulls, p)
	if p.cancel != nil {
		p.cancel()
	}
	now := time.Now()
	out := message.ConfigPulled{WriteID: s.view.Doc.WriteID, Age: s.view.Age(now), Held: now.Sub(p.since)}
	if s.view.Doc.WriteID != p.have {
		out.Config = s.view.Doc
	}
	p.env.Reply(out)
}
