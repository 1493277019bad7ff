package httpapi

import (
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

func (a *api) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var spec model.JobSpec
	if !a.read(w, r, &spec) {
		return
	}
	if spec.Domain == "" {
		spec.Domain = a.domain
	}
	f := message.Forward{Domain: spec.Domain, To: names.Scheduler, Body: message.JobSubmit{Spec: spec}, Idempotent: spec.Key != ""}
	if reply, ok := forward[message.JobReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, reply.Job)
	}
}

func (a *api) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	f := message.Forward{
		Domain: a.domainOr(q.Get("domain")), To: names.Scheduler, Idempotent: true,
		Body: message.JobList{Account: model.AccountID(q.Get("account"))},
	}
	if reply, ok := forward[message.JobsReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, reply.Jobs)
	}
}

func (a *api) showJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id := r.URL.Query().Get("id")
	domain, _, _ := strings.Cut(id, "/")
	f := message.Forward{
		Domain: model.FailureDomain(domain), To: names.Scheduler, Idempotent: true,
		Body: message.JobStatus{Job: model.JobID(id)},
	}
	if reply, ok := forward[message.JobReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, reply.Job)
	}
}

// CancelBody is the body of a cancellation. All jobs belong to one failure domain.
type CancelBody struct {
	Account model.AccountID `json:"account"`
	Jobs    []model.JobID   `json:"jobs"`
}

func (a *api) cancelJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in CancelBody
	if !a.read(w, r, &in) {
		return
	}
	if len(in.Jobs) == 0 {
		a.fail(w, failure.New(failure.Malformed, "no jobs are named"))
		return
	}
	domain, _, _ := strings.Cut(string(in.Jobs[0]), "/")
	f := message.Forward{
		Domain: model.FailureDomain(domain), To: names.Scheduler, Idempotent: true,
		Body: message.JobCancel{Account: in.Account, Jobs: in.Jobs},
	}
	if reply, ok := forward[message.JobsReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, reply.Jobs)
	}
}
