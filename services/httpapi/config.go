package httpapi

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// ConfigResponse is the response body of the calls that read or change the configuration.
type ConfigResponse struct {
	Config model.Config `json:"config"`
	AgeMS  int64        `json:"age_ms"`
}

// ChangeConfigRequest is the request body of a configuration change.
type ChangeConfigRequest struct {
	// ExpectedVersion must be the current configuration version; otherwise the change is refused.
	ExpectedVersion uint64               `json:"expect"`
	Change          message.ConfigChange `json:"change"`
}

func (a *api) showConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	a.callConfigService(w, r, message.ConfigGet{})
}

func (a *api) changeConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in ChangeConfigRequest
	if !a.decodeBody(w, r, &in) {
		return
	}
	if n := countChanges(in.Change); n != 1 {
		a.refuse(w, failure.Malformed, "exactly one change is expected, not %d", n)
		return
	}
	a.callConfigService(w, r, message.ConfigPropose{Expect: in.ExpectedVersion, Change: in.Change})
}

// countChanges returns the number of changes that are set in c.
func countChanges(c message.ConfigChange) int {
	n := 0
	for _, set := range []bool{c.UsePreset != "", c.PutPreset != nil, c.TakeOut != "", c.BringIn != ""} {
		if set {
			n++
		}
	}
	return n
}

func (a *api) callConfigService(w http.ResponseWriter, r *http.Request, m kernel.Message) {
	// The context is not cancelled when the operator disconnects, so that a change is applied or refused as a whole.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), defaultTimeout)
	defer cancel()
	reply, err := kernel.Call[message.ConfigReply](ctx, a.caller, names.Config, m)
	if err != nil {
		a.writeFailure(w, failure.FromDelivery(err))
		return
	}
	writeJSON(w, http.StatusOK, ConfigResponse{Config: reply.Config, AgeMS: reply.Age.Milliseconds()})
}
