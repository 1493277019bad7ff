package domains

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Rules are the limits and margins of the decisions. The pressure of a failure domain is the number of accelerators
// that queued jobs request, minus the number of free accelerators, divided by the number of all its accelerators.
type Rules struct {
	// MaxLoadAge is the age beyond which a load is not used.
	MaxLoadAge time.Duration
	// MaxInFlight limits the undecided transfers of a failure domain, MaxPerRound the new ones of one call.
	MaxInFlight, MaxPerRound int
	// MaxTransfers limits the transfers of one job. Cooldown is the minimum time between the first and the second
	// transfer; it doubles with each further one.
	MaxTransfers int
	Cooldown     time.Duration
	// MinQueueTime is the minimum time that a job is queued before it is transferred. It does not apply to urgent jobs
	// or to a failure domain that is out of service.
	MinQueueTime time.Duration
	// Margin is the difference in pressure from which another failure domain is preferred. RegionMargin is added if it is
	// in another region, and GangMargin if a large gang would wait for whole workers there.
	Margin, RegionMargin, GangMargin float64
	// ExpectedLoadFactor is the number of times that a transferred job counts in the expected load of its target. Other
	// failure domains choose targets by the same stale loads, so more jobs may arrive there (herd effect).
	ExpectedLoadFactor int
	// ImmediateStartOnly permits transfers only to failure domains that are expected to start the job immediately,
	// unless the own one is out of service.
	ImmediateStartOnly bool
	// MaxLostWork limits the estimated run time that a transfer of a job with a checkpoint may discard. The discarded
	// run time must not exceed the wait that the transfer is expected to save, either. With 0 no job with a checkpoint
	// is transferred.
	MaxLostWork time.Duration
	// LostWorkWaitFactor lifts both limits for a job in a failure domain that is out of service, once it has been
	// queued there for LostWorkWaitFactor times the run time that a transfer discards; 0 disables the rule. It is a
	// competitive online rule, which needs no estimate of when the failure domain returns (Karlin et al., "Competitive
	// Snoopy Caching").
	LostWorkWaitFactor int
	// YoungestFirst transfers the jobs that were submitted last first.
	YoungestFirst bool
}

// DefaultRules returns the rules that the functions Choose and SelectTransfers apply. docs/decisions/job-routing.md
// compares them with others.
func DefaultRules() Rules {
	return Rules{
		MaxLoadAge: 10 * time.Second, MaxInFlight: 16, MaxPerRound: 8, MaxTransfers: 3, Cooldown: 5 * time.Minute,
		MinQueueTime: 5 * time.Second, Margin: 0.05, RegionMargin: 0.15, GangMargin: 0.25, ExpectedLoadFactor: 3,
	}
}

const (
	// largeGangGPUs is the size from which GangMargin applies to a gang that cannot start immediately.
	largeGangGPUs = 4 * model.GPUsPerWorker
	// minRunTime and maxRunTime limit the declared run time in the estimate of lost work, because it may be far off.
	minRunTime, maxRunTime = 15 * time.Minute, 2 * time.Hour
	// expectedOutage is the expected time until a failure domain that is out of service returns. queueDrainTime is the
	// expected wait at a pressure of 1. Both are only compared with lost work.
	expectedOutage, queueDrainTime = time.Hour, time.Hour
)

// gpuDemand returns the number of accelerators that a job adds to the pressure. A job without accelerators counts as
// one.
func gpuDemand(s model.JobSpec) int { return max(1, s.GPUs()) }

// AddExpectedLoad adds a job that was sent to a failure domain to the known load of that failure domain, until its next
// load report replaces it. Otherwise all jobs of a burst would go to the same failure domain.
func AddExpectedLoad(loads []model.DomainLoad, d model.FailureDomain, spec model.JobSpec) {
	for i := range loads {
		if loads[i].Domain == d {
			loads[i] = withQueuedJobs(loads[i], spec, 1)
		}
	}
}

// withQueuedJobs returns a load with n more queued jobs of a spec.
func withQueuedJobs(load model.DomainLoad, spec model.JobSpec, n int) model.DomainLoad {
	load.QueuedGPUs += n * gpuDemand(spec)
	load.QueuedJobs += n
	return load
}

// pressure returns the pressure of a failure domain, as defined for Rules, with extraGPUs more accelerators requested.
// It is negative if accelerators would remain free.
func pressure(l model.DomainLoad, extraGPUs int) float64 {
	return float64(l.QueuedGPUs+extraGPUs-l.FreeGPUs) / float64(max(1, l.GPUs))
}

// canStartNow reports whether a failure domain is expected to start a job immediately.
func canStartNow(l model.DomainLoad, s model.JobSpec) bool {
	if l.QueuedGPUs+gpuDemand(s) > l.FreeGPUs {
		return false
	}
	return s.GPUsPerTask < model.GPUsPerWorker || l.FreeWorkers >= s.Tasks
}

// usable reports whether a job may be sent to a failure domain.
func (r Rules) usable(l model.DomainLoad, s model.JobSpec, now time.Time) bool {
	return l.Starts && !l.Out && l.GPUs >= gpuDemand(s) && now.Sub(l.Heard) <= r.MaxLoadAge
}

// cost returns the expected pressure of a failure domain with the job added, plus the margins that apply. With a
// pressure below 0 the job starts immediately, so the pressure gets a low weight and the margins decide between such
// domains.
func (r Rules) cost(l model.DomainLoad, s model.JobSpec, origin Origin) float64 {
	c := pressure(l, gpuDemand(s))
	if c < 0 {
		c *= freeGPUWeight
	}
	if l.Domain != origin.Domain {
		c += r.Margin
	}
	if l.Region != origin.Region {
		c += r.RegionMargin
	}
	if s.GPUs() >= largeGangGPUs && !canStartNow(l, s) {
		c += r.GangMargin
	}
	return c
}

// freeGPUWeight is the weight of a negative pressure in a cost.
const freeGPUWeight = 0.01
