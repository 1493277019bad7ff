package httpapi

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// publishedState holds the latest state that the other services have published.
type publishedState struct {
	members   []model.Member
	authority message.AuthorityChanged
	config    message.ConfigChanged
}

// HolderStatus describes the holder of a failure domain in a status response.
type HolderStatus struct {
	Domain model.FailureDomain `json:"domain"`
	// VM is empty and Epoch zero if no holder is known.
	VM    model.VMID  `json:"vm,omitempty"`
	Epoch model.Epoch `json:"epoch"`
	// OutOfService is true while the failure domain is out of service by order of an operator.
	OutOfService bool `json:"out"`
}

// StatusResponse is the response body of the status call.
type StatusResponse struct {
	VM       model.VMID          `json:"vm"`
	Domain   model.FailureDomain `json:"domain"`
	Region   model.Region        `json:"region"`
	Draining bool                `json:"draining"`
	// ConfigVersion is 0 and ConfigAgeMS -1 while no configuration is known.
	ConfigVersion uint64 `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"`
	// Preset names the active preset of the configuration.
	Preset  string         `json:"preset,omitempty"`
	Holders []HolderStatus `json:"holders"`
	// Members lists the other entry VMs. Their LastHeard dates from the last published change of the members.
	Members []model.Member `json:"members"`
}

type (
	statusGet   struct{}
	statusReply struct{ body StatusResponse }
)

// Kind implements kernel.Message.
func (statusGet) Kind() string { return "http_status_get" }

// Kind implements kernel.Message.
func (statusReply) Kind() string { return "http_status_reply" }

func (s *Service) status() statusReply {
	v := s.published
	body := StatusResponse{
		VM: s.self.VM, Domain: s.self.Domain, Region: s.self.Region, Draining: s.gate.closed.Load(),
		ConfigVersion: v.config.Config.Version, ConfigAgeMS: -1, Preset: v.config.Config.InForce,
		Members: slices.SortedFunc(slices.Values(v.members), func(a, b model.Member) int {
			return strings.Compare(string(a.VM), string(b.VM))
		}),
		Holders: s.holders(),
	}
	if body.ConfigVersion > 0 {
		body.ConfigAgeMS = time.Since(v.config.Confirmed).Milliseconds()
	}
	return statusReply{body}
}

// holders returns, for each known failure domain, the member with the highest holder epoch, sorted by domain.
func (s *Service) holders() []HolderStatus {
	self := s.self
	if s.published.authority.Holder {
		self.Holder = s.published.authority.Epoch
	}
	byDomain := make(map[model.FailureDomain]HolderStatus)
	for _, m := range append([]model.Member{self}, s.published.members...) {
		holder, known := byDomain[m.Domain]
		if !known {
			holder = HolderStatus{Domain: m.Domain, OutOfService: s.published.config.Config.IsOut(m.Domain)}
		}
		if holder.Epoch.Less(m.Holder) {
			holder.VM, holder.Epoch = m.VM, m.Holder
		}
		byDomain[m.Domain] = holder
	}
	out := make([]HolderStatus, 0, len(byDomain))
	for _, h := range byDomain {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HolderStatus) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return out
}

func (a *api) showStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), defaultTimeout)
	defer cancel()
	reply, err := kernel.Call[statusReply](ctx, a.caller, names.HTTP, statusGet{})
	if err != nil {
		a.writeFailure(w, failure.FromDelivery(err))
		return
	}
	writeJSON(w, http.StatusOK, reply.body)
}
