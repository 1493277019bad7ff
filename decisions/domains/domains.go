// Package domains decides the failure domain of a job: at submission, and again while the job waits.
package domains

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Home is the place of the entry VM that received a submission.
type Home struct {
	Domain model.FailureDomain
	Region model.Region
}

// Waiting is a queued job of the own failure domain. A job that is running, starting or being transferred is none.
type Waiting struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of the first submission, Since the time from which the job waits in this failure domain
	// without a run.
	Submitted time.Time
	Since     time.Time
	// Progress is the checkpointed share of the work, from 0 to 1. A transfer gives it up.
	Progress float64
	// Transfers counts the earlier transfers of the job, also through other failure domains and also refused ones;
	// LastTransfer is the time at which the last one ended, zero if there was none.
	Transfers    int
	LastTransfer time.Time
}

// Transfer is a decision to hand a job over.
type Transfer struct {
	Job    model.JobID
	Target model.FailureDomain
}

// Choose returns the failure domains to which a submission may be sent, best first, and at least one. A job that
// names a failure domain gets only that one. Without a usable load of another failure domain the only candidate is
// the own one, which refuses the job itself if it can never run it. The caller skips Choose for jobs with an
// idempotency key.
func Choose(loads []model.DomainLoad, spec model.JobSpec, home Home, now time.Time) []model.FailureDomain {
	return Default().Choose(loads, spec, home, now)
}

// Choose is the function Choose with other rules.
func (r Rules) Choose(loads []model.DomainLoad, spec model.JobSpec, home Home, now time.Time) []model.FailureDomain {
	if spec.Domain != "" {
		return []model.FailureDomain{spec.Domain}
	}
	var fit []model.DomainLoad
	for _, l := range loads {
		if r.usable(l, spec, now) {
			fit = append(fit, l)
		}
	}
	slices.SortStableFunc(fit, func(a, b model.DomainLoad) int {
		return cmp.Or(cmp.Compare(r.cost(a, spec, home), r.cost(b, spec, home)), cmp.Compare(a.Domain, b.Domain))
	})
	var out []model.FailureDomain
	for _, l := range fit {
		out = append(out, l.Domain)
	}
	if !slices.Contains(out, home.Domain) {
		out = append(out, home.Domain)
	}
	return out
}

// Transfers returns the jobs that the own failure domain should hand over now, in the order in which to begin
// them. own is its present load; loads may include it. inFlight counts its undecided transfers. The caller calls it
// when the loads change or the failure domain is taken out, at most once a second.
//
// A job with an idempotency key may move only if the caller keeps its key, so that a repeated submission finds the job
// that goes on for it; other callers leave such jobs out of waiting.
func Transfers(own model.DomainLoad, loads []model.DomainLoad, waiting []Waiting, inFlight int, now time.Time) []Transfer {
	return Default().Transfers(own, loads, waiting, inFlight, now)
}

// Transfers is the function Transfers with other rules.
func (r Rules) Transfers(own model.DomainLoad, loads []model.DomainLoad, waiting []Waiting, inFlight int, now time.Time) []Transfer {
	n := min(r.MaxInFlight-inFlight, r.MaxPerRound)
	if n <= 0 || !own.Out && pressure(own, 0) < r.Margin {
		return nil
	}
	x := round{Rules: r, own: own, now: now}
	for _, l := range loads {
		if l.Domain != own.Domain && r.usable(l, model.JobSpec{}, now) {
			x.targets = append(x.targets, l)
		}
	}
	if len(x.targets) == 0 {
		return nil
	}
	var out []Transfer
	for _, w := range x.candidates(waiting) {
		if t := x.target(w); t != nil && len(out) < n {
			out = append(out, Transfer{Job: w.Job, Target: t.Domain})
			*t = withJobs(*t, w.Spec, r.Herd)
			x.own = withJobs(x.own, w.Spec, -1)
		}
	}
	return out
}

// round is the state of one call of Transfers: the loads with the expected effect of its transfers so far.
type round struct {
	Rules
	own     model.DomainLoad
	targets []model.DomainLoad
	now     time.Time
}

// candidates returns the jobs that may be handed over, in order.
func (x *round) candidates(waiting []Waiting) []Waiting {
	var out []Waiting
	for _, w := range waiting {
		if x.mayMove(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b Waiting) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			return map[bool]int{true: -1, false: 1}[a.Spec.Urgent]
		}
		age := a.Submitted.Compare(b.Submitted)
		if x.YoungestFirst {
			age = -age
		}
		return cmp.Or(age, cmp.Compare(a.Job, b.Job))
	})
	return out
}

func (x *round) mayMove(w Waiting) bool {
	if w.Spec.Domain != "" || w.Transfers >= x.MaxTransfers {
		return false
	}
	if w.Transfers > 0 && x.now.Sub(w.LastTransfer) < x.Cooldown<<(w.Transfers-1) {
		return false
	}
	return x.own.Out || w.Spec.Urgent || x.now.Sub(w.Since) >= x.Settle
}

// target returns the best target of a job, or nil if the job should stay.
func (x *round) target(w Waiting) *model.DomainLoad {
	var best *model.DomainLoad
	home := Home{Domain: x.own.Domain, Region: x.own.Region}
	low := 0.0
	for i := range x.targets {
		t := &x.targets[i]
		if !x.usable(*t, w.Spec, x.now) || x.StartsOnly && !x.own.Out && !hasRoom(*t, w.Spec) {
			continue
		}
		if c := x.cost(*t, w.Spec, home); best == nil || c < low {
			best, low = t, c
		}
	}
	if best == nil {
		return nil
	}
	if !x.own.Out && pressure(x.own, 0) < max(low, x.Margin) || !x.worthLoss(w, *best) {
		return nil
	}
	return best
}

// worthLoss reports whether a transfer is worth the checkpoint of a job.
func (x *round) worthLoss(w Waiting, t model.DomainLoad) bool {
	lost := lostWork(w)
	wait := time.Duration((pressure(x.own, 0) - max(0, pressure(t, gpus(w.Spec)))) * float64(drainTime))
	if x.own.Out {
		wait = outWait
		if x.LostWait > 0 && x.now.Sub(w.Since) >= time.Duration(x.LostWait)*lost {
			return true
		}
	}
	return lost <= min(wait, x.MaxLost)
}

// lostWork estimates the run time that a transfer gives up.
func lostWork(w Waiting) time.Duration {
	return time.Duration(w.Progress * float64(min(max(w.Spec.RunTime, minLost), maxLost)))
}
