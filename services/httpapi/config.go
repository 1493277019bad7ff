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

// ConfigBody is the body of an answered configuration call.
type ConfigBody struct {
	Config model.Config `json:"config"`
	AgeMS  int64        `json:"age_ms"`
}

// ChangeBody is the body of a configuration change.
type ChangeBody struct {
	Expect uint64               `json:"expect"`
	Change message.ConfigChange `json:"change"`
}

func (a *api) showConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	a.config(w, r, message.ConfigGet{})
}

func (a *api) changeConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in ChangeBody
	if !a.read(w, r, &in) {
		return
	}
	if n := changes(in.Change); n != 1 {
		a.refuse(w, failure.Malformed, "exactly one change is expected, not %d", n)
		return
	}
	a.config(w, r, message.ConfigPropose{Expect: in.Expect, Change: in.Change})
}

// changes returns the number of changes that are set.
func changes(c message.ConfigChange) int {
	n := 0
	for _, set := range []bool{c.UsePreset != "", c.PutPreset != nil, c.TakeOut != "", c.BringIn != ""} {
		if set {
			n++
		}
	}
	return n
}

func (a *api) config(w http.ResponseWriter, r *http.Request, m kernel.Message) {
	// The change outlives an operator that disconnects, so that it is applied or refused as a whole.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), defaultTimeout)
	defer cancel()
	reply, err := kernel.Call[message.ConfigReply](ctx, a.caller, names.Config, m)
	if err != nil {
		a.fail(w, failure.FromDelivery(err))
		return
	}
	write(w, http.StatusOK, ConfigBody{Config: reply.Config, AgeMS: reply.Age.Milliseconds()})
}
