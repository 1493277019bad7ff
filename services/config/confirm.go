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
	// watchWait bounds one watch of the store. The confirmation of a VM that watches the store is at most two waits old.
	watchWait = 400 * time.Millisecond
	// pullWait bounds the time for which another VM holds a pull. A confirmation that passes through two VMs is at most
	// two watches, two pulls and their round trips old, about 1.5 s, which is less than config.ValidFor.
	pullWait = 300 * time.Millisecond
	// maxUnadvancedAge is the age below which a confirmation counts as valid although the answer did not advance it. An
	// older one makes the VM try another source. Without this limit, two VMs that are partitioned together would pull
	// from each other until their confirmations expire.
	maxUnadvancedAge = time.Second
	// confirmRetryDelay is the delay before the next source is tried after a failure.
	confirmRetryDelay = 100 * time.Millisecond
	// pullRoundTripTimeout bounds a pull in addition to pullWait. A round trip between regions takes 60 ms.
	pullRoundTripTimeout = 300 * time.Millisecond
)

type confirmDue struct{}

// Kind implements kernel.Message.
func (confirmDue) Kind() string { return "config_confirm_due" }

// confirm requests the document from the next source.
func (s *Service) confirm(c *kernel.Context) {
	source := s.selector.Next(s.self, s.holder, s.members)
	if source.IsStore() {
		s.confirmFromStore(c)
		return
	}
	s.confirmFromPeer(c, source.VM)
}

// scheduleConfirm schedules the next confirmation after a source has answered or failed. confirmed tells whether the
// source confirmed the document.
func (s *Service) scheduleConfirm(c *kernel.Context, confirmed bool) {
	if confirmed && !s.booting {
		s.selector.Answered()
		c.SendAfter(0, confirmDue{})
		return
	}
	s.selector.Failed()
	c.SendAfter(confirmRetryDelay, confirmDue{})
}

func (s *Service) confirmFromStore(c *kernel.Context) {
	requestedAt, lastEntry := time.Now(), s.lastEntry
	c.Request(names.Store, message.StoreWatch{Key: Key, After: lastEntry.version, Wait: watchWait}, func(m kernel.Message, err error) {
		entry, ok := m.(message.StoreEntry)
		switch {
		case err != nil || !ok || entry.Unchanged && entry.Version != lastEntry.version:
			// After an outage the store may hold another value under the same version, so the next watch must return the value.
			s.lastEntry = decodedEntry{}
			s.scheduleConfirm(c, false)
		case entry.Unchanged:
			s.scheduleConfirm(c, s.learnDecodedEntry(c, lastEntry, requestedAt))
		default:
			s.scheduleConfirm(c, s.learnStoreEntry(c, entry, requestedAt))
		}
	})
}

// decodedEntry is a store entry with its decoded document. Service.lastEntry is the one that was read last, which an
// unchanged watch confirms. The zero value is an absent key.
type decodedEntry struct {
	version uint64
	doc     model.Config
	// unreadable is set if the value does not decode; doc is then empty.
	unreadable bool
}

// learnStoreEntry applies a store entry that was current at a local time. It reports whether the entry confirms the
// applied document.
func (s *Service) learnStoreEntry(c *kernel.Context, e message.StoreEntry, at time.Time) bool {
	doc, ok := decode(e)
	return s.learnDecodedEntry(c, decodedEntry{version: e.Version, doc: doc, unreadable: !ok}, at)
}

func (s *Service) learnDecodedEntry(c *kernel.Context, e decodedEntry, at time.Time) bool {
	s.lastEntry = e
	if e.unreadable {
		klog.ErrorS(nil, "configuration in the store cannot be decoded", "vm", s.self.VM, "store_version", e.version)
		return false
	}
	if config.Newer(s.view.Doc, e.doc) {
		// If the document was applied after the entry was requested, the store may hold the document by now.
		if s.appliedAt.Before(at) {
			s.repair(c, e.version)
		}
		return false
	}
	s.learn(c, e.doc, at)
	// An absent key confirms that there is no document yet.
	return true
}

// decode returns the document in a store entry, or the empty document for an absent key. It returns false if the value
// cannot be decoded.
func decode(e message.StoreEntry) (model.Config, bool) {
	var doc model.Config
	if e.Version == 0 {
		return doc, true
	}
	err := json.Unmarshal(e.Value, &doc)
	return doc, err == nil
}

// repair writes the applied document to a store that holds an older one, for example after a restore.
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
	requestedAt := time.Now()
	f := message.Forward{
		VM: vm, To: names.Config, Deadline: requestedAt.Add(pullWait + pullRoundTripTimeout), Idempotent: true,
		Body: message.ConfigPull{Have: s.view.Doc.WriteID, Wait: pullWait},
	}
	c.Request(names.Peers, f, func(m kernel.Message, err error) {
		answer, ok := m.(message.ConfigPulled)
		if err != nil || !ok {
			s.scheduleConfirm(c, false)
			return
		}
		before := s.view.Confirmed
		current := s.learnPulled(c, answer, requestedAt)
		s.endBoot(c)
		recent := s.view.Confirmed.After(before) || s.view.Age(time.Now()) < maxUnadvancedAge
		s.scheduleConfirm(c, current && recent)
	})
}

// learnPulled applies the answer of another VM. The answer was sent no earlier than requestedAt plus Held, so that the
// document was confirmed no earlier than Age before that time. learnPulled reports whether both VMs then apply the same
// document.
func (s *Service) learnPulled(c *kernel.Context, a message.ConfigPulled, requestedAt time.Time) bool {
	doc := a.Config
	if a.WriteID == s.view.Doc.WriteID {
		doc = s.view.Doc
	}
	s.learn(c, doc, requestedAt.Add(a.Held-a.Age))
	return a.WriteID == s.view.Doc.WriteID
}

// pendingPull is the call of another VM that waits for a document other than writeID.
type pendingPull struct {
	env         kernel.Envelope
	receivedAt  time.Time
	writeID     string
	cancelTimer func()
}

type pullDue struct{ p *pendingPull }

// Kind implements kernel.Message.
func (pullDue) Kind() string { return "config_pull_due" }

func (s *Service) handlePull(c *kernel.Context, e kernel.Envelope, m message.ConfigPull) {
	p := &pendingPull{env: e, receivedAt: time.Now(), writeID: m.Have}
	s.pulls[p] = struct{}{}
	// A VM whose own confirmation has expired answers immediately, so that the caller soon tries another source.
	if s.view.Doc.WriteID != m.Have || !s.view.Fresh(time.Now()) {
		s.answerPull(p)
		return
	}
	p.cancelTimer = c.SendAfter(min(m.Wait, pullWait), pullDue{p: p})
}

func (s *Service) answerPull(p *pendingPull) {
	if _, waiting := s.pulls[p]; !waiting {
		return
	}
	delete(s.pulls, p)
	if p.cancelTimer != nil {
		p.cancelTimer()
	}
	now := time.Now()
	out := message.ConfigPulled{WriteID: s.view.Doc.WriteID, Age: s.view.Age(now), Held: now.Sub(p.receivedAt)}
	if s.view.Doc.WriteID != p.writeID {
		out.Config = s.view.Doc
	}
	p.env.Reply(out)
}
