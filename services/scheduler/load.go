package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// loadInterval is the interval at which the load is measured and transfers are considered. Publishing changes more
// often would cost the VMs more traffic than the newer values are worth.
const loadInterval = time.Second

type loadDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (loadDue) Kind() string { return "load_due" }

// handleLoadDue publishes the load if it has changed, and begins transfers.
func (s *Service) handleLoadDue(c *kernel.Context, m loadDue) {
	if m.epoch != s.epoch {
		return
	}
	c.SendAfter(loadInterval, m)
	now := time.Now()
	own := s.measureLoad(now)
	if own != s.publishedLoad {
		s.publishedLoad = own
		c.Publish(message.LoadChanged{Load: own})
	}
	s.beginTransfers(c, own, now)
}

// measureLoad returns the load of this failure domain. The membership service sets Region and Heard.
func (s *Service) measureLoad(now time.Time) model.DomainLoad {
	_, blocked := s.startsBlocked(now)
	l := model.DomainLoad{
		Domain: s.domain, Out: s.config.Config.IsOut(s.domain),
		Starts: !blocked && s.recovery == nil && !s.draining,
	}
	for _, j := range s.jobs {
		if j.gang == nil && j.State == model.JobQueued && j.confirmed {
			l.QueuedJobs++
			l.QueuedGPUs += j.Spec.GPUs()
		}
	}
	occupied := s.occupiedGPUs()
	for _, id := range s.workerOrder {
		if w := s.workers[id]; !w.reported || !s.tracker.Usable(id, now) {
			continue
		}
		used, busy := occupied[id]
		l.GPUs += model.GPUsPerWorker
		l.FreeGPUs += model.GPUsPerWorker - used.Count()
		if !busy {
			l.FreeWorkers++
		}
	}
	return l
}
