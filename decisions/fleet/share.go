package fleet

// markOverShare marks the candidates of accounts that occupy more than their shares of what the runs of all accounts with
// a weight occupy. It looks at the present only, so that an idle account earns no claim on the future, and a new holder
// decides the same once executors have reported.
func (f *Scheduler) markOverShare(waiting []*candidate) {
	occupied, weights := 0.0, 0.0
	for i := range f.config.Accounts {
		if t := &f.config.Accounts[i]; t.Weight > 0 {
			occupied += float64(weightedMillicores(f.use.occupied.Occupied(t.Name)))
			weights += t.Weight
		}
	}
	if weights == 0 {
		return
	}
	for _, c := range waiting {
		if t := f.config.Account(c.units[0].job.rec.Account); t != nil && t.Weight > 0 {
			c.OverShare = float64(weightedMillicores(f.use.occupied.Occupied(t.Name)))*weights > occupied*t.Weight
		}
	}
}
