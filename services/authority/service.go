// Package authority is the service that decides whether this VM holds its failure domain.
package authority

import (
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/authority"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// drainTimeout bounds the handover at a graceful shutdown: closing the log and revoking the lease.
const drainTimeout = 5 * time.Second

// timerFired reports that the timer of an authority.SetTimer has fired.
type timerFired struct{ number uint64 }

// Kind implements kernel.Message.
func (timerFired) Kind() string { return "authority_wake_due" }

// Service takes part in the elections of one failure domain.
type Service struct {
	vm          model.VMID
	domain      model.FailureDomain
	machine     *authority.Machine
	cancelTimer func()
}

// New returns the service of one VM.
func New(vm model.VMID, d model.FailureDomain) *Service {
	return &Service{vm: vm, domain: d, machine: authority.New(vm, uuid.NewString())}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Authority, Service: s, DependsOn: []kernel.Name{names.Store},
		Subscriptions: []string{message.KindMembersChanged}, DrainTimeout: drainTimeout,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	s.step(c, authority.Started{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { s.step(c, authority.Drain{}) }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case timerFired:
		s.step(c, authority.TimerFired{Number: m.number})
	case message.MembersChanged:
		s.step(c, authority.Members{Peers: s.peers(m.Members)})
	case message.EpochRefused:
		s.step(c, authority.EpochRefused{Epoch: m.Epoch})
	}
}

// peers returns the members of the own failure domain.
func (s *Service) peers(members []model.Member) []model.Member {
	var out []model.Member
	for _, m := range members {
		if m.Domain == s.domain && m.VM != s.vm {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) step(c *kernel.Context, e authority.Event) {
	for _, a := range s.machine.Step(e, time.Now()) {
		switch a := a.(type) {
		case authority.Call:
			s.callStore(c, a)
		case authority.SetTimer:
			if s.cancelTimer != nil {
				s.cancelTimer()
			}
			s.cancelTimer = c.SendAfter(a.Delay, timerFired{number: a.Number})
		case authority.Announce:
			klog.InfoS("authority changed", "domain", s.domain, "holder", a.Holder, "epoch", a.Epoch.String())
			c.Publish(message.AuthorityChanged{Holder: a.Holder, Epoch: a.Epoch, Domain: s.domain})
		case authority.CloseLog:
			s.closeLog(c, a.Epoch)
		case authority.Drained:
			c.CompleteDrain()
		}
	}
}

func (s *Service) closeLog(c *kernel.Context, e model.Epoch) {
	c.Request(names.Store, message.LogClose{Epoch: e}, func(_ kernel.Message, err error) {
		if err != nil {
			klog.ErrorS(err, "closing the log failed", "domain", s.domain, "epoch", e.String())
		}
		s.step(c, authority.LogClosed{})
	})
}
