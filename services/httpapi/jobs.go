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
	if !a.read(w, r, &spec) {
		return
	}
	if a.gate.refuses(a, w, message.JobSubmit{Spec: spec}) {
		return
	}
	c := newCall(r, defaultTimeout)
	defer c.cancel()
	job, err := a.place(c, spec)
	if err != nil {
		a.fail(w, message.DeliveryFailure(message.JobSubmit{Spec: spec}, err))
		return
	}
	// A key may belong to a job that has moved since its first submission.
	write(w, http.StatusOK, a.follow(c, job))
}

// place submits a job to the failure domain that it names, or to one that the routing service chooses.
func (a *api) place(c call, spec model.JobSpec) (model.Job, error) {
	if spec.Domain == "" {
		reply, err := kernel.Call[message.JobReply](c.ctx, a.caller, names.Routing, message.JobRoute{Spec: spec, Deadline: c.deadline})
		return reply.Job, err
	}
	f := message.Forward{Domain: spec.Domain, To: names.Scheduler, Body: message.JobSubmit{Spec: spec}, Idempotent: spec.Key != ""}
	reply, err := ask[message.JobReply](a, c, f)
	return reply.Job, err
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
	id := model.JobID(r.URL.Query().Get("id"))
	if id.Domain() == "" {
		a.refuse(w, failure.Malformed, "job %q is not of the form %q", id, "DOMAIN/ID")
		return
	}
	c := newCall(r, defaultTimeout)
	defer c.cancel()
	reply, err := ask[message.JobReply](a, c, statusOf(id))
	if err != nil {
		a.fail(w, failure.FromDelivery(err))
		return
	}
	write(w, http.StatusOK, a.follow(c, reply.Job))
}

func statusOf(id model.JobID) message.Forward {
	return message.Forward{Domain: id.Domain(), To: names.Scheduler, Idempotent: true, Body: message.JobStatus{Job: id}}
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
	c := newCall(r, defaultTimeout)
	defer c.cancel()
	jobs, err := a.cancelAll(c, in)
	if err != nil {
		a.fail(w, failure.FromDelivery(err))
		return
	}
	write(w, http.StatusOK, jobs)
}

func (a *api) showAccount(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	account := model.AccountID(q.Get("account"))
	if account == "" {
		a.refuse(w, failure.Malformed, "an account is expected")
		return
	}
	f := message.Forward{
		Domain: a.domainOr(q.Get("domain")), To: names.Scheduler, Idempotent: true,
		Body: message.AccountShow{Account: account},
	}
	if reply, ok := forward[message.AccountReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, reply)
	}
}
