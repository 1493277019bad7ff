package plan

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// defaultMaxQueuedJobs bounds the waiting jobs of an account whose policy sets no bound.
const defaultMaxQueuedJobs = 10000

// validateSpec returns why a job specification is invalid, or nil.
func validateSpec(s model.JobSpec) *failure.Error {
	switch {
	case s.Tasks < 1:
		return failure.New(failure.Malformed, "tasks must be at least 1, got %d", s.Tasks)
	case !slices.Contains([]int{0, 1, 2, 4, 8}, s.GPUsPerTask):
		return failure.New(failure.Malformed, "GPUs per task must be 0, 1, 2, 4 or 8, got %d", s.GPUsPerTask)
	case s.GPUsPerTask == 0 && s.CoresPerTask < 1:
		return failure.New(failure.Malformed, "a task without GPUs must declare at least 1 core, got %d", s.CoresPerTask)
	case !slices.Contains([]model.Level{"", model.LevelWorker, model.LevelRack, model.LevelDomain}, s.Within):
		return failure.New(failure.Malformed, "within must be worker, rack or domain, got %q", s.Within)
	case s.CoresPerTask < 0 || s.MemoryMBPerTask < 0 || s.RunTime < 0:
		return failure.New(failure.Malformed, "cores, memory and run time must not be negative")
	}
	return nil
}

// CheckAdmission returns why a job cannot be accepted, or nil. The reason is Malformed, UnknownAccount, QuotaExceeded,
// NeverFits or QueueFull. NeverFits means that the job would not fit even if all known workers were usable and idle,
// given the guarantees of other accounts. Accounts are checked only once a policy is set, and the fit only once workers
// are known.
func (p *Planner) CheckAdmission(spec model.JobSpec) *failure.Error {
	if e := validateSpec(spec); e != nil {
		return e
	}
	pol, known := p.policy.Accounts[spec.Account]
	if !known && p.policy.Accounts != nil {
		return failure.New(failure.UnknownAccount, "account %q has no policy", spec.Account)
	}
	if pol.QuotaGPUs > 0 && spec.GPUs() > pol.QuotaGPUs {
		return failure.New(failure.QuotaExceeded, "the job needs %d GPUs, the quota is %d", spec.GPUs(), pol.QuotaGPUs)
	}
	if len(p.workers) > 0 && !p.everFits(spec) {
		return failure.New(failure.NeverFits, "%s", p.neverFitsReason(spec))
	}
	bound := pol.MaxQueuedJobs
	if bound <= 0 {
		bound = defaultMaxQueuedJobs
	}
	if a := p.accounts[spec.Account]; a != nil && a.waitingCount >= bound {
		return failure.New(failure.QueueFull, "%d jobs wait, the bound is %d", a.waitingCount, bound)
	}
	return nil
}

// everFits reports whether a job fits into the failure domain while all workers are usable and idle. Results are cached
// per class.
func (p *Planner) everFits(spec model.JobSpec) bool {
	c := classOf(spec)
	if v, known := p.fitsByClass[c]; known {
		return v
	}
	if p.fitsByClass == nil {
		p.fitsByClass = make(map[class]bool)
	}
	if p.emptyDomain == nil {
		ws := slices.Clone(p.workers)
		for i := range ws {
			ws[i].Usable = true
		}
		p.emptyDomain = New(p.domain)
		p.emptyDomain.SetWorkers(ws)
		p.emptyDomain.SetPolicy(p.policy)
	}
	const id = "probe"
	p.emptyDomain.Enqueue(QueuedJob{Job: id, Spec: spec})
	ok := len(p.emptyDomain.Round(time.Time{}).Starts) > 0
	p.emptyDomain.Remove(id)
	p.fitsByClass[c] = ok
	return ok
}

// neverFitsReason explains why a job never fits.
func (p *Planner) neverFitsReason(spec model.JobSpec) string {
	preemptible := spec
	preemptible.Preemptible = true
	switch {
	case spec.GPUs() > len(p.workers)*model.GPUsPerWorker:
		return "the gang has more GPUs than the failure domain"
	case !spec.Preemptible && p.everFits(preemptible):
		return "the gang is not preemptible, and the guarantees of other accounts need the accelerators"
	default:
		return "no " + string(spec.Within) + " cell of the failure domain holds the whole gang with its cores and memory"
	}
}
