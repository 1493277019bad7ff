package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// jobStates lists the states of jobs that have not ended; the ended ones are counted by event.
var jobStates = []model.JobState{model.JobQueued, model.JobStarting, model.JobRunning, model.JobPreempting}

// reportShortfall sets the gauge of the guaranteed accelerators that cannot be packed at present, and logs a
// change.
func (s *Service) reportShortfall(cells []model.CellCount) {
	if slices.Equal(cells, s.shortfall) {
		return
	}
	s.shortfall = slices.Clone(cells)
	gpus := 0
	for _, n := range cells {
		gpus += n.Count * n.Level.GPUs()
	}
	s.metrics.Gauge("guarantee_shortfall_gpus", int64(gpus))
	klog.InfoS("guarantee shortfall changed", "domain", s.domain, "gpus", gpus, "cells", cells)
}

// reportGauges sets the gauges of jobs by state and of accelerators.
func (s *Service) reportGauges() {
	counts := make(map[model.JobState]int64)
	used := 0
	for _, j := range s.jobs {
		counts[j.State]++
		if j.gang != nil {
			used += j.Spec.GPUs()
		}
	}
	for _, state := range jobStates {
		s.metrics.Gauge("jobs_"+string(state), counts[state])
	}
	total := 0
	for _, w := range s.workers {
		if w.reported {
			total += model.GPUsPerWorker
		}
	}
	s.metrics.Gauge("gpus_used", int64(used))
	s.metrics.Gauge("gpus_free", int64(max(0, total-used)))
	s.metrics.Gauge("jobs_ended_kept", int64(len(s.ended)))
}
