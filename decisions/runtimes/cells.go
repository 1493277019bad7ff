package runtimes

import (
	"math/bits"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// accountMemory is the number of runs over which the cells of an account forget, and so the largest weight of an account
	// in the expectation for others: the weight of a run falls by 1/accountMemory with each later one of the account in the
	// group. Accounts forget apart, so that a flood of one does not displace the runs of the others.
	accountMemory = 24
	// levelPrior, accountPrior, shapePrior and cellPrior are the weights, in runs, of the assumption that a queue runs as
	// long as declared, an account as its queue, a shape as its queue, and a cell as its account and shape.
	levelPrior, accountPrior, shapePrior, cellPrior = 3, 6, 6, 10
	// slopePrior is the weight of the assumption that a declared run time is right up to a constant factor: slopePriorRuns
	// runs whose declared times vary by slopePriorSpread.
	slopePriorRuns   = 6
	slopePriorSpread = 0.3
	slopePrior       = slopePriorRuns * slopePriorSpread * slopePriorSpread
	// maxOutlier bounds how far an account, or its tasks of a shape, count as off the others, maxAccountEffect how far its
	// own expectation moves, as natural logarithms.
	maxOutlier       = 0.7
	maxAccountEffect = 2.8
	// maxCells bounds the cells of a model, maxAccountCells those of an account in a group.
	maxCells        = 1024
	maxAccountCells = 16
)

// shape is the size of a task in powers of two.
type shape struct{ CPU, Memory, GPU int }

func shapeOf(r workload.Resources) shape {
	return shape{bits.Len(uint(max(0, r.CPU))), bits.Len(uint(max(0, r.Memory))), bits.Len(uint(max(0, r.GPU)))}
}

// groupKey identifies a group: the tasks of a queue, apart by whether their run time is declared.
type groupKey struct {
	queue    workload.Queue
	declared bool
}

func groupOf(q Query) groupKey { return groupKey{q.Queue, q.Declared > 0} }

// cellKey identifies a cell of a group.
type cellKey struct {
	account workload.Account
	shape   shape
}

// sums are weighted sums over runs: of x, the logarithm of the declared run time, of r, the logarithm of the ratio of
// actual to declared run time, and of their products.
type sums struct{ w, x, r, xx, xr float64 }

func (s *sums) addScaled(o *sums, scale float64) {
	s.w += scale * o.w
	s.x += scale * o.x
	s.r += scale * o.r
	s.xx += scale * o.xx
	s.xr += scale * o.xr
}

func (s *sums) scale(factor float64) {
	s.w *= factor
	s.x *= factor
	s.r *= factor
	s.xx *= factor
	s.xr *= factor
}

// cell holds the recent runs of an account's tasks of a shape.
type cell struct {
	key     cellKey
	account *account
	sums
	// effect is the deviation of the cell from its account and shape, as of the last fit.
	effect  float64
	lastUse int64
}

// add adds a run with the logarithms of its declared and of its actual run time.
func (c *cell) add(weight, x, y float64) {
	for _, o := range c.account.cells {
		o.scale(1 - weight/accountMemory)
	}
	r := y - x
	c.addScaled(&sums{1, x, r, x * x, x * r}, weight)
}

// account is the part of a group that belongs to a client account.
type account struct {
	name      workload.Account
	group     *group
	cells     []*cell
	histogram histogram
	// sums are those of the cells, effect is the deviation of the account from the group, both as of the last fit.
	sums
	effect float64
}

// group holds what is known about the tasks of a queue.
type group struct {
	key groupKey
	// cells and accounts are in the order of their first run.
	cells    []*cell
	accounts []*account
	index    map[cellKey]*cell
	// inherited is the histogram of an earlier model.
	inherited histogram
	errors    errorMeans
	// projection is the logarithm of the ratio of actual run times to those that were projected from progress.
	projection float64
	fit        *fit
}

func newGroup(k groupKey) *group { return &group{key: k, index: map[cellKey]*cell{}} }

func (g *group) account(name workload.Account) *account {
	if g != nil {
		for _, a := range g.accounts {
			if a.name == name {
				return a
			}
		}
	}
	return nil
}

// cellFor returns the cell of a task and adds it, and its group, if it is new. It makes room for a new cell by removing
// the cell that was not used for the longest time: one of the account if that has its share of cells, and otherwise any.
func (m *Model) cellFor(q Query) *cell {
	g := m.groups[groupOf(q)]
	k := cellKey{q.Account, shapeOf(q.Need)}
	if g == nil || g.index[k] == nil {
		m.makeRoom(g.account(q.Account))
		// The group may have been removed with its last cell.
		if g = m.groups[groupOf(q)]; g == nil {
			g = newGroup(groupOf(q))
			m.groups[g.key] = g
			m.order = append(m.order, g)
		}
		g.add(&cell{key: k})
		m.cells++
	}
	c := g.index[k]
	c.lastUse = m.uses
	return c
}

func (g *group) add(c *cell) {
	a := g.account(c.key.account)
	if a == nil {
		a = &account{name: c.key.account, group: g}
		g.accounts = append(g.accounts, a)
	}
	a.cells = append(a.cells, c)
	c.account = a
	g.cells = append(g.cells, c)
	g.index[c.key] = c
}

func (g *group) remove(c *cell) {
	g.cells = slices.DeleteFunc(g.cells, func(o *cell) bool { return o == c })
	delete(g.index, c.key)
	a := c.account
	a.cells = slices.DeleteFunc(a.cells, func(o *cell) bool { return o == c })
	if len(a.cells) == 0 {
		g.accounts = slices.DeleteFunc(g.accounts, func(o *account) bool { return o == a })
	}
	g.fit = nil
}

// makeRoom removes a cell if there is no room for a further one of an account, which is nil if it has none.
func (m *Model) makeRoom(a *account) {
	var oldest *cell
	older := func(c *cell) {
		if oldest == nil || c.lastUse < oldest.lastUse {
			oldest = c
		}
	}
	switch {
	case a != nil && len(a.cells) >= maxAccountCells:
		for _, c := range a.cells {
			older(c)
		}
	case m.cells >= maxCells:
		for _, g := range m.order {
			for _, c := range g.cells {
				older(c)
			}
		}
	default:
		return
	}
	g := oldest.account.group
	g.remove(oldest)
	m.cells--
	if len(g.cells) == 0 {
		delete(m.groups, g.key)
		m.order = slices.DeleteFunc(m.order, func(o *group) bool { return o == g })
	}
}

// fit is the regression of a group, with the deviations of its accounts and shapes from it.
type fit struct {
	// weight is the number of runs, meanX the mean logarithm of their declared run times.
	weight, meanX float64
	// level is the logarithm of the ratio of actual to declared run time at meanX, slope its change with x: 0 if declared
	// times are right up to a factor, -1 if they say nothing.
	level, slope float64
	shapes       map[shape]float64
	// deviations is the distribution of the deviations of runs; low, typical and high are its 0.1 quantile, its median and
	// its 0.9 quantile.
	deviations         histogram
	low, typical, high float64
}

// setQuantiles sets the quantiles of the distribution.
func (f *fit) setQuantiles() *fit {
	f.low, f.typical, f.high = f.deviations.quantile(0.1), f.deviations.quantile(0.5), f.deviations.quantile(0.9)
	return f
}

// residual returns the sum of the deviations of runs from the regression.
func (f *fit) residual(s *sums) float64 {
	return s.r - s.w*(f.level-f.slope*f.meanX) - f.slope*s.x
}

// noFit is the fit of a group without runs.
var noFit = (&fit{}).setQuantiles()

func (g *group) fitted() *fit {
	if g == nil || len(g.cells) == 0 {
		return noFit
	}
	if g.fit == nil {
		g.fit = g.newFit()
	}
	return g.fit
}

// newFit computes the regression over all accounts, and the deviations of accounts, shapes and cells from it. Each
// deviation is reduced as if the wider cell had as many runs as its prior. Beyond its own cells, no account counts as
// further than maxOutlier from the median account.
func (g *group) newFit() *fit {
	f := &fit{shapes: map[shape]float64{}}
	for _, a := range g.accounts {
		a.sums = sums{}
	}
	for _, c := range g.cells {
		c.account.addScaled(&c.sums, 1)
	}
	var ratios []float64
	for _, a := range g.accounts {
		if a.w > 0 {
			ratios = append(ratios, a.r/a.w)
		}
	}
	if len(ratios) == 0 {
		return f.setQuantiles()
	}
	slices.Sort(ratios)
	median := (ratios[len(ratios)/2] + ratios[(len(ratios)-1)/2]) / 2
	var all sums
	for _, a := range g.accounts {
		s := a.sums
		if s.w > 0 {
			excess := s.r/s.w - median - clamp(s.r/s.w-median, maxOutlier)
			s.r -= excess * s.w
			s.xr -= excess * s.x
		}
		all.addScaled(&s, 1)
	}
	f.weight, f.meanX = all.w, all.x/all.w
	f.slope = (all.xr - all.x*all.r/all.w) / (max(0, all.xx-all.x*all.x/all.w) + slopePrior)
	f.slope = min(max(f.slope, -1), 0.5)
	f.level = all.r / (all.w + levelPrior)
	f.addDeviations(g)
	return f.setQuantiles()
}

// addDeviations adds the deviations of accounts, shapes and cells, and the distribution of what remains.
func (f *fit) addDeviations(g *group) {
	weights := map[shape]float64{}
	for _, a := range g.accounts {
		a.effect = clamp(f.residual(&a.sums)/(a.w+accountPrior), maxAccountEffect)
	}
	for _, c := range g.cells {
		if c.w > 0 {
			weights[c.key.shape] += c.w
			f.shapes[c.key.shape] += c.w * clamp(f.residual(&c.sums)/c.w-c.account.effect, maxOutlier)
		}
	}
	for k, w := range weights {
		f.shapes[k] /= w + shapePrior
	}
	for _, c := range g.cells {
		c.effect = clamp((f.residual(&c.sums)-c.w*(c.account.effect+f.shapes[c.key.shape]))/(c.w+cellPrior), maxDeviation)
	}
	f.deviations = g.inherited
	for _, a := range g.accounts {
		f.deviations.addScaled(&a.histogram, accountMemory/max(accountMemory, a.histogram.weight()))
	}
}

func clamp(v, bound float64) float64 { return min(max(v, -bound), bound) }

// center returns the logarithm of the run time that the regression expects of a task.
func (g *group) center(q Query) float64 {
	x := logDeclared(q.Declared)
	f := g.fitted()
	if f == noFit {
		if q.Declared <= 0 {
			return logRunTime(unknownRunTime)
		}
		return x
	}
	k := cellKey{q.Account, shapeOf(q.Need)}
	y := x + f.level + f.slope*(x-f.meanX) + f.shapes[k.shape]
	if c := g.index[k]; c != nil {
		y += c.account.effect + c.effect
	} else if a := g.account(q.Account); a != nil {
		y += a.effect
	}
	return min(max(y, logRunTime(minRunTime)), logRunTime(maxRunTime))
}
