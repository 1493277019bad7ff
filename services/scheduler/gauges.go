package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// reportQuarantine logs the workers that entered or left the quarantine, and sets the gauge of quarantined workers.
func (s *Service) reportQuarantine() {
	now := s.tracker.Quarantined()
	if slices.Equal(now, s.reportedQuarantine) {
		return
	}
	for _, w := range now {
		if !slices.Contains(s.reportedQuarantine, w) {
			klog.InfoS("worker quarantined", "worker", w)
		}
	}
	for _, w := range s.reportedQuarantine {
		if !slices.Contains(now, w) {
			klog.InfoS("worker released from quarantine", "worker", w)
		}
	}
	s.reportedQuarantine = now
	s.metrics.SetGauge("workers_quarantined", int64(len(now)))
}

// openJobStates lists the states of jobs that have not ended. The final states are counted as events instead.
var openJobStates = []model.JobState{model.JobQueued, model.JobTransferring, model.JobStarting, model.JobRunning, model.JobPreempting}

// reportShortfall sets the gauge of the guaranteed accelerators that cannot be packed at present, and logs a
// change.
func (s *Service) reportShortfall(cells []model.CellCount) {
	if slices.Equal(cells, s.reportedShortfall) {
		return
	}
	s.reportedShortfall = slices.Clone(cells)
	gpus := 0
	for _, n := range cells {
		gpus += n.Count * n.Level.GPUs()
	}
	s.metrics.SetGauge("guarantee_shortfall_gpus", int64(gpus))
	klog.InfoS("guarantee shortfall changed", "domain", s.domain, "gpus", gpus, "cells", cells)
}

// reportGauges sets the gauges of jobs by state and of accelerators.
func (s *Service) reportGauges() {
	counts := make(map[model.JobState]int64)
	byAccount := make(map[model.AccountID]int)
	for _, j := range s.jobs {
		if !j.confirmed {
			continue
		}
		counts[j.State]++
		if j.gang == nil {
			continue
		}
		byAccount[j.Spec.Account] += j.Spec.GPUs()
	}
	for _, state := range openJobStates {
		s.metrics.SetGauge("jobs_"+string(state), counts[state])
	}
	s.metrics.SetGauge("jobs_ended_kept", int64(len(s.endedJobs)+len(s.movedJobs)))
	s.metrics.SetGauge("gpus_borrowed", int64(s.borrowedGPUs(byAccount)))
	s.reportGPUGauges(s.occupiedGPUs())
}

// occupiedGPUs returns the accelerators in use on each worker. A worker that runs only tasks without accelerators has
// an entry, too.
func (s *Service) occupiedGPUs() map[model.WorkerID]model.GPUMask {
	out := make(map[model.WorkerID]model.GPUMask)
	for _, j := range s.jobs {
		if j.gang == nil {
			continue
		}
		for _, slot := range j.Placement {
			out[slot.Worker] |= slot.GPUs
		}
	}
	return out
}

// borrowedGPUs returns the number of accelerators that accounts use beyond their guarantees.
func (s *Service) borrowedGPUs(used map[model.AccountID]int) int {
	n := 0
	policies := s.config.Config.ActivePreset().Accounts
	for account, gpus := range used {
		n += max(0, gpus-s.guaranteedGPUs(policies[account]))
	}
	return n
}

// guaranteedGPUs returns the number of accelerators that a policy guarantees in this failure domain.
func (s *Service) guaranteedGPUs(p model.AccountPolicy) int {
	n := 0
	for _, g := range p.Guarantees {
		if g.Domain != s.domain {
			continue
		}
		for _, cells := range g.Cells {
			n += cells.Count * cells.Level.GPUs()
		}
	}
	return n
}

// reportGPUGauges sets the gauges of the used and free accelerators of the reporting workers, and of their
// fragmentation in thousandths.
func (s *Service) reportGPUGauges(occupied map[model.WorkerID]model.GPUMask) {
	var known []cell.WorkerLocation
	for _, id := range s.workerOrder {
		if w := s.workers[id]; w.reported {
			known = append(known, cell.WorkerLocation{ID: id, Rack: w.rack})
		}
	}
	topo := cell.NewTopology(known)
	free := cell.NewInventory(topo)
	used := 0
	for _, w := range known {
		mask := occupied[w.ID]
		used += mask.Count()
		if i, ok := topo.WorkerIndex(w.ID); ok {
			free.SetMask(i, ^mask)
		}
	}
	s.metrics.SetGauge("gpus_used", int64(used))
	s.metrics.SetGauge("gpus_free", int64(len(known)*model.GPUsPerWorker-used))
	s.metrics.SetGauge("fragmentation_permille", int64(1000*free.Fragmentation()))
}

// countFirstStart counts the wait of a job from its submission until its first attempt runs. A job that runs only in a
// later attempt is not counted.
func (s *Service) countFirstStart(j *job) {
	if j.Attempt > 1 {
		return
	}
	kind := "job"
	if j.Spec.Urgent {
		kind = "urgent_job"
	}
	s.metrics.CountEvent(kind+"_first_starts", 1)
	s.metrics.CountEvent(kind+"_first_start_wait_ms", j.Started.Sub(j.Submitted).Milliseconds())
}
