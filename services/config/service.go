// Package config is the service that owns the operators' configuration document.
//
// It regularly confirms with the store or with another VM that the document is current, answers the VMs that confirm
// theirs with this one, and writes the operators' changes to the store by compare-and-swap.
package config

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// Key is the store key of the document.
	Key = "config"
	// bootTimeout bounds the wait of a starting VM for the document of a peer. The store may hold an older document, for
	// example after a restore, and the VM must not apply it before the newer one.
	bootTimeout = time.Second
)

type bootDone struct{}

// Kind implements kernel.Message.
func (bootDone) Kind() string { return "config_boot_done" }

// Service holds the document that is in force on this VM.
type Service struct {
	self     model.Member
	metrics  *metrics.Set
	view     config.View
	selector config.Selector
	members  []model.Member
	holder   bool
	booting  bool
	// appliedAt is the local time at which the document was applied.
	appliedAt time.Time
	lastEntry decodedEntry
	repairing bool
	pulls     map[*pendingPull]struct{}
}

// New returns the service of one VM. The peers are those in its settings; they are used until the first MembersChanged.
func New(self model.Member, peers []model.Member, m *metrics.Set) *Service {
	s := &Service{self: self, metrics: m, booting: true, pulls: make(map[*pendingPull]struct{})}
	for _, p := range peers {
		p.Alive = true
		s.members = append(s.members, p)
	}
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Config, Service: s, DependsOn: []kernel.Name{names.Store, names.Peers},
		Subscriptions: []string{message.KindMembersChanged, message.KindAuthorityChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.SendAfter(bootTimeout, bootDone{})
	c.SendAfter(0, confirmDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) {
	for p := range s.pulls {
		s.answerPull(p)
	}
	c.CompleteDrain()
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case bootDone:
		s.endBoot(c)
	case confirmDue:
		s.confirm(c)
	case message.MembersChanged:
		s.members = m.Members
	case message.AuthorityChanged:
		s.holder = m.Holder
	case message.ConfigPull:
		s.handlePull(c, e, m)
	case pullDue:
		s.answerPull(m.p)
	case message.ConfigGet:
		s.get(e)
	case message.ConfigPropose:
		s.propose(c, e, m)
	case proposalRetry:
		s.readBack(c, m.p)
	}
}

func (s *Service) get(e kernel.Envelope) {
	if s.booting || s.view.Doc.Version == 0 {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.ConfigUnavailable, "no configuration is known yet")))
		return
	}
	e.Reply(s.reply())
}

func (s *Service) reply() message.ConfigReply {
	return message.ConfigReply{Config: s.view.Doc, Age: s.view.Age(time.Now())}
}

// learn applies a document that was current at a local time, and publishes the document if it was confirmed later than
// before.
func (s *Service) learn(c *kernel.Context, doc model.Config, at time.Time) {
	before := s.view
	s.view = s.view.Learn(doc, at)
	if s.view.Doc.WriteID != before.Doc.WriteID {
		s.appliedAt = time.Now()
		klog.InfoS("configuration applied", "vm", s.self.VM, "version", s.view.Doc.Version, "in_force", s.view.Doc.InForce, "out", s.view.Doc.Out)
		s.metrics.SetGauge("config_version", int64(s.view.Doc.Version))
		for p := range s.pulls {
			s.answerPull(p)
		}
	}
	if s.view.Confirmed != before.Confirmed {
		s.publish(c)
	}
}

func (s *Service) publish(c *kernel.Context) {
	if !s.booting && s.view.Doc.Version > 0 {
		c.Publish(message.ConfigChanged{Config: s.view.Doc, Confirmed: s.view.Confirmed})
	}
}

func (s *Service) endBoot(c *kernel.Context) {
	if s.booting {
		s.booting = false
		s.publish(c)
	}
}

// knownDomains returns the failure domains of this VM and of all members, sorted.
func (s *Service) knownDomains() []model.FailureDomain {
	out := []model.FailureDomain{s.self.Domain}
	for _, m := range s.members {
		out = append(out, m.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
