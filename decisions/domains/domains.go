// Package domains selects the failure domain of a job: at submission, and again while the job is queued.
package domains

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Origin is the location of the entry VM that received a submission.
type Origin struct {
	Domain model.FailureDomain
	Region model.Region
}

// QueuedJob is a queued job of the own failure domain. A job that is running, starting or being transferred does not
// count as queued.
type QueuedJob struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of the first submission. QueuedSince is the time from which the job has been queued in this
	// failure domain without running.
	Submitted   time.Time
	QueuedSince time.Time
	// Progress is the share of the work that is covered by a checkpoint, from 0 to 1. A transfer discards it.
	Progress float64
	// Transfers counts the earlier transfers of the job, including those between other failure domains and refused ones.
	// LastTransfer is the time at which the last one ended, or zero.
	Transfers    int
	LastTransfer time.Time
}

// Transfer is the decision to transfer a job to another failure domain.
type Transfer struct {
	Job    model.JobID
	Target model.FailureDomain
}

// Choose returns the failure domains to which a submission may be sent, best first and at least one. A job that
// names a failure domain gets only that one. Without a usable load of another failure domain the only candidate is
// the own one, which refuses the job itself if the job can never run there. Callers do not use Choose for jobs with
// an idempotency key.
func Choose(loads []model.DomainLoad, spec model.JobSpec, origin Origin, now time.Time) []model.FailureDomain {
	return DefaultRules().Choose(loads, spec, origin, now)
}

// Choose is like the function Choose but applies the rules r.
func (r Rules) Choose(loads []model.DomainLoad, spec model.JobSpec, origin Origin, now time.Time) []model.FailureDomain {
	if spec.Domain != "" {
		return []model.FailureDomain{spec.Domain}
	}
	var candidates []model.DomainLoad
	for _, l := range loads {
		if r.usable(l, spec, now) {
			candidates = append(candidates, l)
		}
	}
	slices.SortStableFunc(candidates, func(a, b model.DomainLoad) int {
		return cmp.Or(cmp.Compare(r.cost(a, spec, origin), r.cost(b, spec, origin)), cmp.Compare(a.Domain, b.Domain))
	})
	var out []model.FailureDomain
	for _, l := range candidates {
		out = append(out, l.Domain)
	}
	if !slices.Contains(out, origin.Domain) {
		out = append(out, origin.Domain)
	}
	return out
}

// SelectTransfers returns the transfers that the own failure domain should begin now, in order. own is its present
// load; loads may include it. inFlight is the number of its transfers that are not decided yet. The caller calls it
// when the loads change or the failure domain is taken out of service, at most once a second.
//
// A job with an idempotency key may be transferred only if the caller keeps the key, so that a repeated submission
// finds the transferred job; other callers must leave such jobs out of queued.
func SelectTransfers(own model.DomainLoad, loads []model.DomainLoad, queued []QueuedJob, inFlight int, now time.Time) []Transfer {
	return DefaultRules().SelectTransfers(own, loads, queued, inFlight, now)
}

// SelectTransfers is like the function SelectTransfers but applies the rules r.
func (r Rules) SelectTransfers(own model.DomainLoad, loads []model.DomainLoad, queued []QueuedJob, inFlight int, now time.Time) []Transfer {
	limit := min(r.MaxInFlight-inFlight, r.MaxPerRound)
	if limit <= 0 || !own.Out && pressure(own, 0) < r.Margin {
		return nil
	}
	round := transferRound{Rules: r, own: own, now: now}
	for _, l := range loads {
		if l.Domain != own.Domain && r.usable(l, model.JobSpec{}, now) {
			round.targets = append(round.targets, l)
		}
	}
	if len(round.targets) == 0 {
		return nil
	}
	var out []Transfer
	for _, w := range round.candidates(queued) {
		if target := round.bestTarget(w); target != nil && len(out) < limit {
			out = append(out, Transfer{Job: w.Job, Target: target.Domain})
			*target = withQueuedJobs(*target, w.Spec, r.ExpectedLoadFactor)
			round.own = withQueuedJobs(round.own, w.Spec, -1)
		}
	}
	return out
}

// transferRound is the state of one call of SelectTransfers: the loads, adjusted by the expected effect of the
// transfers that the call has selected so far.
type transferRound struct {
	Rules
	own     model.DomainLoad
	targets []model.DomainLoad
	now     time.Time
}

// candidates returns the jobs that may be transferred, in the order in which they are considered.
func (tr *transferRound) candidates(queued []QueuedJob) []QueuedJob {
	var out []QueuedJob
	for _, w := range queued {
		if tr.mayTransfer(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b QueuedJob) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			return map[bool]int{true: -1, false: 1}[a.Spec.Urgent]
		}
		age := a.Submitted.Compare(b.Submitted)
		if tr.YoungestFirst {
			age = -age
		}
		return cmp.Or(age, cmp.Compare(a.Job, b.Job))
	})
	return out
}

func (tr *transferRound) mayTransfer(w QueuedJob) bool {
	if w.Spec.Domain != "" || w.Transfers >= tr.MaxTransfers {
		return false
	}
	if w.Transfers > 0 && tr.now.Sub(w.LastTransfer) < tr.Cooldown<<(w.Transfers-1) {
		return false
	}
	return tr.own.Out || w.Spec.Urgent || tr.now.Sub(w.QueuedSince) >= tr.MinQueueTime
}

// bestTarget returns the best target of a job, or nil if the job should stay.
func (tr *transferRound) bestTarget(w QueuedJob) *model.DomainLoad {
	var best *model.DomainLoad
	origin := Origin{Domain: tr.own.Domain, Region: tr.own.Region}
	lowestCost := 0.0
	for i := range tr.targets {
		t := &tr.targets[i]
		if !tr.usable(*t, w.Spec, tr.now) || tr.ImmediateStartOnly && !tr.own.Out && !canStartNow(*t, w.Spec) {
			continue
		}
		if targetCost := tr.cost(*t, w.Spec, origin); best == nil || targetCost < lowestCost {
			best, lowestCost = t, targetCost
		}
	}
	if best == nil {
		return nil
	}
	if !tr.own.Out && pressure(tr.own, 0) < max(lowestCost, tr.Margin) || !tr.worthLostWork(w, *best) {
		return nil
	}
	return best
}

// worthLostWork reports whether a transfer gains more than the work that it discards with the checkpoint of a job.
func (tr *transferRound) worthLostWork(w QueuedJob, target model.DomainLoad) bool {
	lostRunTime := lostWork(w)
	savedWait := time.Duration((pressure(tr.own, 0) - max(0, pressure(target, gpuDemand(w.Spec)))) * float64(queueDrainTime))
	if tr.own.Out {
		savedWait = expectedOutage
		if tr.LostWorkWaitFactor > 0 && tr.now.Sub(w.QueuedSince) >= time.Duration(tr.LostWorkWaitFactor)*lostRunTime {
			return true
		}
	}
	return lostRunTime <= min(savedWait, tr.MaxLostWork)
}

// lostWork estimates the run time that a transfer discards.
func lostWork(w QueuedJob) time.Duration {
	return time.Duration(w.Progress * float64(min(max(w.Spec.RunTime, minRunTime), maxRunTime)))
}
