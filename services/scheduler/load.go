package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// loadEvery is the interval at which the load is measured and transfers are considered. A load that changes
// more often would cost the VMs more traffic than its use is worth.
const loadEvery = time.Second

type loadDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (loadDue) Kind() string { return "load_due" }

// loadDue publishes the load if it has changed, and begins transfers.
func (s *Service) loadDue(c *kernel.Context, m loadDue) {
	if m.epoch != s.epoch {
		return
	}
	c.SendAfter(loadEvery, m)
	now := time.Now()
	own := s.measureLoad(now)
	if own != s.published {
		s.published = own
		c.Publish(message.LoadChanged{Load: own})
	}
	s.beginTransfers(c, own, now)
}

// measureLoad returns the load of the own failure domain. Region and Heard are left to the membership.
func (s *Service) measureLoad(now time.Time) model.DomainLoad {
	_, blocked := s.blocked(now)
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
	occupied := s.occupied()
	for _, id := range s.order {
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
