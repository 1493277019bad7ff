package config

import (
	"bytes"
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
	asked := time.Now()
	c.Request(names.Store, message.StoreWatch{Key: Key, After: s.stored, Wait: confirmWait}, func(m kernel.Message, err error) {
		entry, ok := m.(message.StoreEntry)
		if err != nil || !ok {
			s.confirmed(c, false)
			return
		}
		s.confirmed(c, s.learnEntry(c, entry, asked))
	})
}

// learnEntry applies a store entry that was current at a local time. It reports whether the entry confirms
// the applied document.
func (s *Service) learnEntry(c *kernel.Context, e message.StoreEntry, at time.Time) bool {
	s.stored = e.Version
	doc, ok := s.read(e)
	if !ok {
		klog.ErrorS(nil, "configuration in the store is not readable", "vm", s.self.VM, "store_version", e.Version)
		return false
	}
	if config.Newer(s.view.Doc, doc) {
		// A document that was applied after the entry was asked for says nothing about the store.
		if s.applied.Before(at) {
			s.repair(c, e)
		}
		return false
	}
	s.learn(c, doc, at)
	// A watch of an absent key confirms that there is no document yet.
	return true
}

// read returns the document of an entry and decodes it only if its value differs from the last one.
func (s *Service) read(e message.StoreEntry) (model.Config, bool) {
	if e.Version != 0 && s.storedValue != nil && bytes.Equal(e.Value, s.storedValue) {
		return s.storedDoc, true
	}
	doc, ok := decode(e)
	if ok {
		s.storedValue, s.storedDoc = e.Value, doc
	}
	return doc, ok
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
func (s *Service) repair(c *kernel.Context, e message.StoreEntry) {
	value, err := json.Marshal(s.view.Doc)
	if err != nil || s.repairing {
		return
	}
	s.repairing = true
	klog.InfoS("store holds an older configuration; writing the applied one", "vm", s.self.VM, "version", s.view.Doc.Version)
	s.metrics.Event("config_store_repaired", 1)
	c.Request(names.Store, message.StorePut{Key: Key, Value: value, Expect: e.Version}, func(kernel.Message, error) {
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
