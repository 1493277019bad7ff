package domains

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Rules are the bounds and margins of the decisions. Pressures are shares of the accelerators of a failure domain: the
// accelerators that wait, less the free ones, by all.
type Rules struct {
	// MaxAge is the age from which a load is not used.
	MaxAge time.Duration
	// MaxInFlight bounds the undecided transfers of a failure domain, MaxPerRound the new ones of one call.
	MaxInFlight, MaxPerRound int
	// MaxTransfers bounds the transfers of one job. Between two of them at least Cooldown passes, which doubles each time.
	MaxTransfers int
	Cooldown     time.Duration
	// Settle is the time that a job waits before it is handed over, unless it is urgent or its failure domain is out.
	Settle time.Duration
	// Margin is the difference in pressure from which another failure domain is better; RegionMargin is added if it is
	// in another region and GangMargin if a large gang would wait there for whole workers.
	Margin, RegionMargin, GangMargin float64
	// Herd is the number of times that a job counts in the expected load of its target, because others choose by the same
	// old loads.
	Herd int
	// StartsOnly permits transfers only to failure domains that are expected to start the job at once, unless the own
	// one is out.
	StartsOnly bool
	// MaxLost bounds the estimated run time that a transfer of a job with a checkpoint may give up. Less than the expected
	// gain is required as well. 0 keeps all jobs with a checkpoint.
	MaxLost time.Duration
	// LostWait lets a job with a checkpoint leave a failure domain that is out all the same, once it has waited there
	// LostWait times the run time that it gives up; 0 never does. The rule needs no knowledge of the return (Karlin et al.,
	// "Competitive Snoopy Caching").
	LostWait int
	// YoungestFirst hands over the jobs first that were submitted last.
	YoungestFirst bool
}

// Default returns the rules that Choose and Transfers use; docs/decisions/job-routing.md compares them with others.
func Default() Rules {
	return Rules{
		MaxAge: 10 * time.Second, MaxInFlight: 16, MaxPerRound: 8, MaxTransfers: 3, Cooldown: 5 * time.Minute,
		Settle: 5 * time.Second, Margin: 0.05, RegionMargin: 0.15, GangMargin: 0.25, Herd: 3,
	}
}

const (
	// largeGPUs is the size from which a gang without free whole workers needs GangMargin.
	largeGPUs = 4 * model.GPUsPerWorker
	// minLost and maxLost bound the declared run time in the estimate of lost work, because it may be far off.
	minLost, maxLost = 15 * time.Minute, 2 * time.Hour
	// outWait is the expected wait for the return of a failure domain that is out, and drainTime the expected wait at a
	// pressure of 1. Both are only compared with lost work.
	outWait, drainTime = time.Hour, time.Hour
)

// gpus is the size of a job in pressures; a job without accelerators counts as one.
func gpus(s model.JobSpec) int { return max(1, s.GPUs()) }

// Expect counts a job that was sent to a failure domain in the load of that, until a new load is learned. Otherwise
// the jobs of a burst all go to one failure domain.
func Expect(loads []model.DomainLoad, d model.FailureDomain, spec model.JobSpec) {
	for i := range loads {
		if loads[i].Domain == d {
			loads[i] = withJobs(loads[i], spec, 1)
		}
	}
}

// withJobs returns a load with n more waiting jobs.
func withJobs(l model.DomainLoad, spec model.JobSpec, n int) model.DomainLoad {
	l.QueuedGPUs += n * gpus(spec)
	l.QueuedJobs += n
	return l
}

// pressure is the share of the accelerators of a failure domain that waits for accelerators in use; negative if
// accelerators stay free.
func pressure(l model.DomainLoad, more int) float64 {
	return float64(l.QueuedGPUs+more-l.FreeGPUs) / float64(max(1, l.GPUs))
}

// hasRoom reports whether a failure domain is expected to start a job at once.
func hasRoom(l model.DomainLoad, s model.JobSpec) bool {
	if l.QueuedGPUs+gpus(s) > l.FreeGPUs {
		return false
	}
	return s.GPUsPerTask < model.GPUsPerWorker || l.FreeWorkers >= s.Tasks
}

// usable reports whether a job may be sent to a failure domain.
func (r Rules) usable(l model.DomainLoad, s model.JobSpec, now time.Time) bool {
	return l.Starts && !l.Out && l.GPUs >= gpus(s) && now.Sub(l.Heard) <= r.MaxAge
}

// cost is the expected pressure for a job in another failure domain, with the margins. A pressure below 0 starts it at
// once and counts little, so that the margins decide between failure domains with room.
func (r Rules) cost(l model.DomainLoad, s model.JobSpec, home Home) float64 {
	c := pressure(l, gpus(s))
	if c < 0 {
		c *= roomWeight
	}
	if l.Domain != home.Domain {
		c += r.Margin
	}
	if l.Region != home.Region {
		c += r.RegionMargin
	}
	if s.GPUs() >= largeGPUs && !hasRoom(l, s) {
		c += r.GangMargin
	}
	return c
}

// roomWeight is the weight of free accelerators in a cost.
const roomWeight = 0.01
