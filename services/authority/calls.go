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

// record is the stored value of the epoch key and of the holder key.
type record struct {
	VM      model.VMID `json:"vm"`
	Epoch   uint64     `json:"epoch,omitempty"`
	WriteID string     `json:"write_id"`
}

func (s *Service) epochKey() string  { return "fd/" + string(s.domain) + "/epoch" }
func (s *Service) holderKey() string { return "fd/" + string(s.domain) + "/holder" }

// callStore sends a call to the store service and applies its result to the state machine.
func (s *Service) callStore(c *kernel.Context, a authority.Call) {
	c.Request(names.Store, s.storeRequest(a), func(m kernel.Message, err error) {
		r := toCallResult(m, err)
		r.ID = a.ID
		s.step(c, r)
	})
}

// storeRequest translates a call into a message for the store service.
func (s *Service) storeRequest(a authority.Call) kernel.Message {
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

// toCallResult translates the answer of the store service. Every error other than a conflict or an expired lease counts
// as no answer: the call may have taken effect.
func toCallResult(m kernel.Message, err error) authority.CallResult {
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
