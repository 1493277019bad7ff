// Package authority is the service that decides whether this VM holds its failure domain.
package authority

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// leaseTTL is the time to live of the holder's lease in the store.
	leaseTTL = 3 * time.Second
	// renewEvery is the interval of lease renewals.
	renewEvery = time.Second
	// electRetry is the delay after a failed or lost election.
	electRetry = 500 * time.Millisecond
)

type (
	electDue struct{}
	renewDue struct{}
)

// Kind implements kernel.Message.
func (electDue) Kind() string { return "elect_due" }

// Kind implements kernel.Message.
func (renewDue) Kind() string { return "renew_due" }

// record is the value of the epoch key and the holder key.
type record struct {
	VM      model.VMID `json:"vm"`
	Epoch   uint64     `json:"epoch"`
	WriteID string     `json:"write_id"`
}

// Service competes for authority over one failure domain.
type Service struct {
	vm     model.VMID
	domain model.FailureDomain
	epoch  model.Epoch
	lease  uint64
	holder uint64
}

// New returns the service of one VM.
func New(vm model.VMID, d model.FailureDomain) *Service { return &Service{vm: vm, domain: d} }

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Authority, Service: s, After: []kernel.Name{names.Store}}
}

func (s *Service) epochKey() string  { return "fd/" + string(s.domain) + "/epoch" }
func (s *Service) holderKey() string { return "fd/" + string(s.domain) + "/holder" }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(0, electDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) {
	if s.epoch.IsZero() {
		c.Drained()
		return
	}
	c.Publish(message.AuthorityChanged{})
	c.Request(names.Store, message.StoreRevoke{Lease: s.lease}, func(kernel.Message, error) { c.Drained() })
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch e.Body.(type) {
	case electDue:
		s.watchHolder(c)
	case renewDue:
		s.renew(c)
	case message.EpochRefused:
		s.stepDown(c)
	}
}

// watchHolder waits until no other VM holds the failure domain.
func (s *Service) watchHolder(c *kernel.Context) {
	c.Request(names.Store, message.StoreWatch{Key: s.holderKey(), After: s.holder, Wait: leaseTTL}, func(m kernel.Message, err error) {
		if err != nil {
			c.After(electRetry, electDue{})
			return
		}
		s.holder = m.(message.StoreEntry).Version
		if s.holder != 0 {
			c.After(0, electDue{})
			return
		}
		s.grantLease(c)
	})
}

func (s *Service) grantLease(c *kernel.Context) {
	c.Request(names.Store, message.StoreGrant{TTL: leaseTTL}, func(m kernel.Message, err error) {
		if err != nil {
			c.After(electRetry, electDue{})
			return
		}
		s.lease = m.(message.StoreLease).Lease
		s.claimHolder(c)
	})
}

// claimHolder creates the holder key under the lease, which only one VM can do.
func (s *Service) claimHolder(c *kernel.Context) {
	value, _ := json.Marshal(record{VM: s.vm, WriteID: uuid.NewString()})
	put := message.StorePut{Key: s.holderKey(), Value: value, Lease: s.lease}
	c.Request(names.Store, put, func(_ kernel.Message, err error) {
		if err != nil {
			c.After(electRetry, electDue{})
			return
		}
		s.raiseEpoch(c)
	})
}

func (s *Service) raiseEpoch(c *kernel.Context) {
	c.Request(names.Store, message.StoreGet{Key: s.epochKey()}, func(m kernel.Message, err error) {
		if err != nil {
			c.After(electRetry, electDue{})
			return
		}
		entry := m.(message.StoreEntry)
		var last record
		if entry.Version != 0 {
			_ = json.Unmarshal(entry.Value, &last)
		}
		next := record{VM: s.vm, Epoch: last.Epoch + 1, WriteID: uuid.NewString()}
		value, _ := json.Marshal(next)
		c.Request(names.Store, message.StorePut{Key: s.epochKey(), Value: value, Expect: entry.Version}, func(_ kernel.Message, err error) {
			if err != nil {
				c.After(electRetry, electDue{})
				return
			}
			s.epoch = model.Epoch{Store: next.Epoch}
			c.Publish(message.AuthorityChanged{Holder: true, Epoch: s.epoch})
			c.After(renewEvery, renewDue{})
		})
	})
}

func (s *Service) renew(c *kernel.Context) {
	if s.epoch.IsZero() {
		return
	}
	c.Request(names.Store, message.StoreKeepAlive{Lease: s.lease}, func(_ kernel.Message, err error) {
		if err != nil {
			s.stepDown(c)
			return
		}
		c.After(renewEvery, renewDue{})
	})
}

func (s *Service) stepDown(c *kernel.Context) {
	if s.epoch.IsZero() {
		return
	}
	s.epoch = model.Epoch{}
	c.Publish(message.AuthorityChanged{})
	c.After(electRetry, electDue{})
}
