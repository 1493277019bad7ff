package plan

import (
	"fmt"
	"testing"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("100")
	m.Run()
}

// oracle checks the invariants from the placements alone, the guarantees by exhaustive search.
type oracle struct {
	domain  model.FailureDomain
	workers []Worker
	policy  model.Preset
}

// task is the use of one accelerator.
type task struct {
	job     model.JobID
	account model.AccountID
	// reclaimable is true if other accounts may preempt the task.
	reclaimable bool
}

// gpusInUse maps each accelerator in use to its task. It fails if two jobs use one accelerator.
func gpusInUse(jobs map[model.JobID]*job) (map[string]task, error) {
	out := make(map[string]task)
	for id, j := range jobs {
		if j.phase != running {
			continue
		}
		for _, s := range j.placement {
			for i := range model.GPUsPerWorker {
				if s.GPUs&(1<<i) == 0 {
					continue
				}
				key := fmt.Sprintf("%s/%d", s.Worker, i)
				if other, taken := out[key]; taken {
					return nil, fmt.Errorf("%s is used by %s and %s", key, id, other.job)
				}
				out[key] = task{job: id, account: j.Spec.Account, reclaimable: j.Spec.Preemptible && !j.protected}
			}
		}
	}
	return out, nil
}

// checkLoads fails if the running tasks of a worker need more cores or memory than it has, or those without
// accelerators more than half.
func (o oracle) checkLoads(jobs map[model.JobID]*job) error {
	for _, w := range o.workers {
		var cores, mem, cpuCores, cpuMem int
		for _, j := range jobs {
			for _, s := range j.placement {
				if j.phase != running || s.Worker != w.ID {
					continue
				}
				cores += j.Spec.CoresPerTask
				mem += j.Spec.MemoryMBPerTask
				if j.Spec.GPUsPerTask == 0 {
					cpuCores += j.Spec.CoresPerTask
					cpuMem += j.Spec.MemoryMBPerTask
				}
			}
		}
		if cores > w.Cores || mem > w.MemoryMB || 2*cpuCores > w.Cores || 2*cpuMem > w.MemoryMB {
			return fmt.Errorf("%s runs %d cores and %d MB, of them %d and %d without accelerators", w.ID, cores, mem, cpuCores, cpuMem)
		}
	}
	return nil
}

// guaranteedCell is one cell that is guaranteed to an account.
type guaranteedCell struct {
	account model.AccountID
	level   model.Level
}

// guaranteesFit reports whether all guaranteed cells can be reclaimed at once, by trying every assignment.
func (o oracle) guaranteesFit(used map[string]task) bool {
	var needs []guaranteedCell
	for _, l := range []model.Level{model.LevelRack, model.LevelWorker, model.LevelHalf, model.LevelGPU} {
		for _, a := range []model.AccountID{"a", "b", "c"} {
			for _, g := range o.policy.Accounts[a].Guarantees {
				for _, c := range g.Cells {
					for n := 0; c.Level == l && n < c.Count; n++ {
						needs = append(needs, guaranteedCell{a, l})
					}
				}
			}
		}
	}
	return o.assign(needs, used, make(map[string]bool), 0)
}

func (o oracle) assign(needs []guaranteedCell, used map[string]task, taken map[string]bool, from int) bool {
	if len(needs) == 0 {
		return true
	}
	cells := o.cells(needs[0].level)
	for i := from; i < len(cells); i++ {
		if !o.canReclaim(cells[i], needs[0].account, used, taken) {
			continue
		}
		for _, g := range cells[i] {
			taken[g] = true
		}
		next := 0
		if len(needs) > 1 && needs[1] == needs[0] {
			next = i + 1
		}
		if o.assign(needs[1:], used, taken, next) {
			return true
		}
		for _, g := range cells[i] {
			delete(taken, g)
		}
	}
	return false
}

func (o oracle) canReclaim(c []string, a model.AccountID, used map[string]task, taken map[string]bool) bool {
	for _, g := range c {
		if t, inUse := used[g]; taken[g] || (inUse && !t.reclaimable && t.account != a) {
			return false
		}
	}
	return true
}

// cells lists the cells of a level whose workers are all usable.
func (o oracle) cells(l model.Level) [][]string {
	var out [][]string
	racks := make(map[string][]string)
	for _, w := range o.workers {
		if !w.Usable {
			continue
		}
		size := min(l.GPUs(), model.GPUsPerWorker)
		for base := 0; base < model.GPUsPerWorker; base += size {
			var c []string
			for i := range size {
				c = append(c, fmt.Sprintf("%s/%d", w.ID, base+i))
			}
			if l == model.LevelRack {
				racks[w.Rack] = append(racks[w.Rack], c...)
			} else {
				out = append(out, c)
			}
		}
	}
	for _, c := range racks {
		if len(c) == model.GPUsPerRack {
			out = append(out, c)
		}
	}
	return out
}

// checkPlacement fails if a placement does not hold all tasks of the gang, is not aligned, uses an unusable worker or
// spans more than one cell of the required level.
func (o oracle) checkPlacement(spec model.JobSpec, pl model.Placement) error {
	if len(pl) != spec.Tasks {
		return fmt.Errorf("%d slots for %d tasks", len(pl), spec.Tasks)
	}
	cells := make(map[string]bool)
	for _, s := range pl {
		aligned := spec.GPUsPerTask == 0 && s.GPUs == 0
		for i := 0; i < model.GPUsPerWorker && spec.GPUsPerTask > 0; i += spec.GPUsPerTask {
			aligned = aligned || s.GPUs == model.GPUMask((1<<spec.GPUsPerTask)-1)<<i
		}
		if !aligned {
			return fmt.Errorf("slot %v is not aligned", s)
		}
		for _, w := range o.workers {
			if w.ID != s.Worker {
				continue
			}
			if !w.Usable {
				return fmt.Errorf("worker %s is not usable", w.ID)
			}
			switch spec.Within {
			case model.LevelWorker:
				cells[string(w.ID)] = true
			case model.LevelRack:
				cells[w.Rack] = true
			}
		}
	}
	if len(cells) > 1 {
		return fmt.Errorf("gang within %s spans %v", spec.Within, cells)
	}
	return nil
}

func workersOf(racks, perRack int) []Worker {
	var out []Worker
	for r := range racks {
		for w := range perRack {
			out = append(out, Worker{ID: model.WorkerID(fmt.Sprintf("w%d%d", r, w)), Rack: fmt.Sprintf("r%d", r), Usable: true, Cores: 16, MemoryMB: 32})
		}
	}
	return out
}

func guarantees(cells ...model.CellCount) []model.Guarantee {
	return []model.Guarantee{{Domain: "d", Cells: cells}}
}
