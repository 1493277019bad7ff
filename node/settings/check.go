package settings

import "github.com/verbenaflow/verbenaflow/api/model"

// checkAddresses reports addresses that are used by two listeners, services or peers.
func (r *reader) checkAddresses(s Settings) {
	usedBy := make(map[string]string)
	checkUnique := func(section, key, address string) {
		if !isAddress(address) {
			return
		}
		if other, used := usedBy[address]; used {
			r.addProblem(section, key, "an address other than %s, which %s uses", address, other)
			return
		}
		usedBy[address] = "[" + section + "] " + key
	}
	checkUnique("listen", "http", s.HTTP)
	checkUnique("listen", "peers", s.Peers)
	checkUnique("listen", "admin", s.Admin)
	checkUnique("platform", "store", s.Store)
	checkUnique("platform", "vmlist", s.VMList)
	for _, m := range s.Members {
		checkUnique("peers", string(m.VM), m.Address)
	}
}

// checkMembers reports this VM as its own peer, and failure domains that are listed in two regions.
func (r *reader) checkMembers(s Settings) {
	regions := map[model.FailureDomain]model.Region{s.Domain: s.Region}
	for _, m := range s.Members {
		if m.VM == s.VM {
			r.addProblem("peers", string(m.VM), "only other VMs; this is the [vm] id of this VM")
		}
		if region, known := regions[m.Domain]; known && region != m.Region {
			r.addProblem("peers", string(m.VM), "region %s, which other settings give for failure domain %s", region, m.Domain)
		}
		regions[m.Domain] = m.Region
	}
}

// checkTimes reports inconsistent durations.
func (r *reader) checkTimes(s Settings) {
	if s.HeaderTimeout >= s.DrainTimeout {
		r.addProblem("timing", "header_timeout", "a duration below drain_timeout (%s), so that a call in progress can complete during a drain", s.DrainTimeout)
	}
}
