package httpapi

import (
	"slices"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// maxHops bounds the moves of a job that one call follows. Seven failure domains are planned within two years, and a
// job that has been in each of them is still found.
const maxHops = 7

// followMoves returns the last successor of a job that has moved between failure domains. If a successor cannot be
// read, it returns the last job that it has read, whose MovedTo names the successor.
func (a *api) followMoves(c callContext, j model.Job) model.Job {
	for range maxHops {
		if j.State != model.JobMoved || j.MovedTo.Domain() == "" {
			break
		}
		reply, err := callHolder[message.JobReply](a, c, jobStatusQuery(j.MovedTo))
		if err != nil {
			break
		}
		j = reply.Job
	}
	return j
}

// cancelFollowingMoves cancels jobs of one failure domain and the successors of those that have moved. A failure after
// the first round has an unknown outcome, because some jobs may be cancelled already.
func (a *api) cancelFollowingMoves(c callContext, in CancelJobsRequest) ([]model.Job, error) {
	done := []model.Job{}
	pending := [][]model.JobID{in.Jobs}
	for hop := 0; len(pending) > 0; hop++ {
		var moved []model.Job
		for _, ids := range pending {
			jobs, err := a.cancelInDomain(c, in.Account, ids)
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
		pending = successorsByDomain(moved)
	}
	return done, nil
}

// cancelInDomain cancels jobs that all belong to one failure domain.
func (a *api) cancelInDomain(c callContext, account model.AccountID, ids []model.JobID) ([]model.Job, error) {
	reply, err := callHolder[message.JobsReply](a, c, message.Forward{
		Domain: ids[0].Domain(), To: names.Scheduler, Idempotent: true,
		Body: message.JobCancel{Account: account, Jobs: ids},
	})
	return reply.Jobs, err
}

// successorsByDomain groups the successors of moved jobs by failure domain, in sorted order.
func successorsByDomain(moved []model.Job) [][]model.JobID {
	var next []model.JobID
	for _, j := range moved {
		next = append(next, j.MovedTo)
	}
	slices.Sort(next) // Job identifiers begin with their failure domain.
	var out [][]model.JobID
	for i, id := range next {
		if i == 0 || id.Domain() != next[i-1].Domain() {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], id)
	}
	return out
}
