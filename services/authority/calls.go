package authority

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/authority"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

// record is the value of the epoch key and the holder key.
type record struct {
	VM      model.VMID `json:"vm"`
	Epoch   uint64     `json:"epoch,omitempty"`
	WriteID string     `json:"write_id"`
}

func (s *Service) epochKey() string  { return "fd/" + string(s.domain) + "/epoch" }
func (s *Service) holderKey() string { return "fd/" + string(s.domain) + "/holder" }

// call sends a call to the store service and steps the machine with its result.
func (s *Service) call(c *kernel.Context, a authority.Call) {
	c.Request(names.Store, s.request(a), func(m kernel.Message, err error) {
		r := result(m, err)
		r.ID = a.ID
		s.step(c, r)
	})
}

// request translates a call into a message of the store service.
func (s *Service) request(a authority.Call) kernel.Message {
	switch a.Op {
	case authority.GetHolder:
		return message.StoreGet{Key: s.holderKey()}
	case authority.WatchHolder:
		return message.StoreWatch{Key: s.holderKey(), After: a.Version, Wait: authority.LeaseTTL}
	case authority.PutHolder:
		return message.StorePut{Key: s.holderKey(), Value: encode(a.Record), Expect: a.Version, Lease: a.Lease}
	case authority.GetEpoch:
		return message.StoreGet{Key: s.epochKey()}
	case authority.PutEpoch:
		return message.StorePut{Key: s.epochKey(), Value: encode(a.Record), Expect: a.Version}
	case authority.GrantLease:
		return message.StoreGrant{TTL: authority.LeaseTTL}
	case authority.RenewLease:
		return message.StoreKeepAlive{Lease: a.Lease}
	default:
		return message.StoreRevoke{Lease: a.Lease}
	}
}

func encode(r authority.Record) []byte {
	data, _ := json.Marshal(record{VM: r.VM, Epoch: r.Epoch, WriteID: r.WriteID})
	return data
}

func decode(data []byte) authority.Record {
	var r record
	_ = json.Unmarshal(data, &r)
	return authority.Record{VM: r.VM, Epoch: r.Epoch, WriteID: r.WriteID}
}

// result translates the answer of the store service. Every error that is not a typed refusal counts as lost.
func result(m kernel.Message, err error) authority.CallResult {
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	switch {
	case errors.As(err, &conflict):
		e := conflict.Current
		return authority.CallResult{Status: authority.Conflict, Version: e.Version, Record: decode(e.Value)}
	case errors.As(err, &expired):
		return authority.CallResult{Status: authority.LeaseExpired}
	case err != nil:
		return authority.CallResult{Status: authority.NoAnswer}
	}
	switch m := m.(type) {
	case message.StoreEntry:
		return authority.CallResult{Status: authority.OK, Version: m.Version, Record: decode(m.Value)}
	case message.StoreLease:
		return authority.CallResult{Status: authority.OK, Lease: m.Lease}
	}
	return authority.CallResult{Status: authority.OK}
}
