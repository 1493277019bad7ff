package httpapi

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

func (a *api) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var spec model.JobSpec
	if !a.decodeBody(w, r, &spec) {
		return
	}
	if a.gate.refuseIfClosed(a, w, message.JobSubmit{Spec: spec}) {
		return
	}
	c := newCallContext(r, defaultTimeout)
	defer c.cancel()
	job, err := a.routeSubmission(c, spec)
	if err != nil {
		a.writeFailure(w, message.DeliveryFailure(message.JobSubmit{Spec: spec}, err))
		return
	}
	// A repeated submission returns the job of the first one, which may have moved to another failure domain since.
	writeJSON(w, http.StatusOK, a.followMoves(c, job))
}

// routeSubmission submits a job to the failure domain that spec names, or through the routing service, which chooses
// one.
func (a *api) routeSubmission(c callContext, spec model.JobSpec) (model.Job, error) {
	if spec.Domain == "" {
		reply, err := kernel.Call[message.JobReply](c.ctx, a.caller, names.Routing, message.JobRoute{Spec: spec, Deadline: c.deadline})
		return reply.Job, err
	}
	f := message.Forward{Domain: spec.Domain, To: names.Scheduler, Body: message.JobSubmit{Spec: spec}, Idempotent: spec.Key != ""}
	reply, err := callHolder[message.JobReply](a, c, f)
	return reply.Job, err
}

func (a *api) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	f := message.Forward{
		Domain: a.domainOrDefault(q.Get("domain")), To: names.Scheduler, Idempotent: true,
		Body: message.JobList{Account: model.AccountID(q.Get("account"))},
	}
	if reply, ok := forward[message.JobsReply](a, w, r, f, defaultTimeout); ok {
		writeJSON(w, http.StatusOK, reply.Jobs)
	}
}

func (a *api) showJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id := model.JobID(r.URL.Query().Get("id"))
	if id.Domain() == "" {
		a.refuse(w, failure.Malformed, "job %q is not of the form %q", id, "DOMAIN/ID")
		return
	}
	c := newCallContext(r, defaultTimeout)
	defer c.cancel()
	reply, err := callHolder[message.JobReply](a, c, jobStatusQuery(id))
	if err != nil {
		a.writeFailure(w, failure.FromDelivery(err))
		return
	}
	writeJSON(w, http.StatusOK, a.followMoves(c, reply.Job))
}

// jobStatusQuery returns a status query to the holder of the failure domain of a job.
func jobStatusQuery(id model.JobID) message.Forward {
	return message.Forward{Domain: id.Domain(), To: names.Scheduler, Idempotent: true, Body: message.JobStatus{Job: id}}
}

// CancelJobsRequest is the request body of a cancellation. All jobs must belong to one failure domain.
type CancelJobsRequest struct {
	Account model.AccountID `json:"account"`
	Jobs    []model.JobID   `json:"jobs"`
}

func (a *api) cancelJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in CancelJobsRequest
	if !a.decodeBody(w, r, &in) {
		return
	}
	if len(in.Jobs) == 0 || in.Account == "" {
		a.refuse(w, failure.Malformed, "an account and at least one job are expected")
		return
	}
	domain := in.Jobs[0].Domain()
	for _, id := range in.Jobs {
		if d := id.Domain(); d == "" || d != domain {
			a.refuse(w, failure.Malformed, "job %q is not of the form %q", id, domain+"/ID")
			return
		}
	}
	c := newCallContext(r, defaultTimeout)
	defer c.cancel()
	jobs, err := a.cancelFollowingMoves(c, in)
	if err != nil {
		a.writeFailure(w, failure.FromDelivery(err))
		return
	}
	writeJSON(w, http.StatusOK, jobs)
}

func (a *api) showAccount(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	account := model.AccountID(q.Get("account"))
	if account == "" {
		a.refuse(w, failure.Malformed, "an account is expected")
		return
	}
	f := message.Forward{
		Domain: a.domainOrDefault(q.Get("domain")), To: names.Scheduler, Idempotent: true,
		Body: message.AccountShow{Account: account},
	}
	if reply, ok := forward[message.AccountReply](a, w, r, f, defaultTimeout); ok {
		writeJSON(w, http.StatusOK, reply)
	}
}
