package httpapi

import (
	"slices"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// maxHops bounds the moves of a job that one call follows. It is the size of two years, seven failure domains,
// so that a job that was in each of them is still found.
const maxHops = 7

// follow returns the job that goes on for a moved one. If it cannot be reached, the answer is the last known
// job, whose MovedTo tells where the work went.
func (a *api) follow(c call, j model.Job) model.Job {
	for range maxHops {
		if j.State != model.JobMoved || j.MovedTo.Domain() == "" {
			break
		}
		reply, err := ask[message.JobReply](a, c, statusOf(j.MovedTo))
		if err != nil {
			break
		}
		j = reply.Job
	}
	return j
}

// cancelAll cancels jobs of one failure domain and, where they have moved, the jobs that go on for them. A
// failure after the first step has an unknown outcome, because some jobs are cancelled already.
func (a *api) cancelAll(c call, in CancelBody) ([]model.Job, error) {
	done := []model.Job{}
	pending := [][]model.JobID{in.Jobs}
	for hop := 0; len(pending) > 0; hop++ {
		var moved []model.Job
		for _, ids := range pending {
			jobs, err := a.cancelIn(c, in.Account, ids)
			switch {
			case err != nil && hop == 0:
				return nil, err
			case err != nil:
				return nil, failure.FromDelivery(err).WithOutcome(failure.Unknown)
			}
			for _, j := range jobs {
				if j.State == model.JobMoved && j.MovedTo.Domain() != "" && hop < maxHops {
					moved = append(moved, j)
					continue
				}
				done = append(done, j)
			}
		}
		pending = byDomain(moved)
	}
	return done, nil
}

// cancelIn cancels jobs of one failure domain.
func (a *api) cancelIn(c call, account model.AccountID, ids []model.JobID) ([]model.Job, error) {
	reply, err := ask[message.JobsReply](a, c, message.Forward{
		Domain: ids[0].Domain(), To: names.Scheduler, Idempotent: true,
		Body: message.JobCancel{Account: account, Jobs: ids},
	})
	return reply.Jobs, err
}

// byDomain groups the successors of moved jobs by failure domain, in a fixed order.
func byDomain(moved []model.Job) [][]model.JobID {
	var next []model.JobID
	for _, j := range moved {
		next = append(next, j.MovedTo)
	}
	slices.Sort(next) // An identifier begins with its failure domain.
	var out [][]model.JobID
	for i, id := range next {
		if i == 0 || id.Domain() != next[i-1].Domain() {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], id)
	}
	return out
}
