package settings

import "github.com/verbenaflow/verbenaflow/api/model"

// checkAddresses reports addresses that two listeners or services share.
func (r *reader) checkAddresses(s Settings) {
	owner := make(map[string]string)
	claim := func(section, key, address string) {
		if !isAddress(address) {
			return
		}
		if other, taken := owner[address]; taken {
			r.problem(section, key, "an address other than %s, which %s has", address, other)
			return
		}
		owner[address] = "[" + section + "] " + key
	}
	claim("listen", "http", s.HTTP)
	claim("listen", "peers", s.Peers)
	claim("listen", "admin", s.Admin)
	claim("platform", "store", s.Store)
	claim("platform", "vmlist", s.VMList)
	for _, m := range s.Members {
		claim("peers", string(m.VM), m.Address)
	}
}

// checkMembers reports this VM among its peers and failure domains in two regions.
func (r *reader) checkMembers(s Settings) {
	regions := map[model.FailureDomain]model.Region{s.Domain: s.Region}
	for _, m := range s.Members {
		if m.VM == s.VM {
			r.problem("peers", string(m.VM), "only other VMs; this is the own [vm] id")
		}
		if region, known := regions[m.Domain]; known && region != m.Region {
			r.problem("peers", string(m.VM), "region %s, which failure domain %s has elsewhere", region, m.Domain)
		}
		regions[m.Domain] = m.Region
	}
}

// checkTimes reports durations that contradict each other.
func (r *reader) checkTimes(s Settings) {
	if s.HeaderTimeout >= s.DrainTimeout {
		r.problem("timing", "header_timeout", "a duration under drain_timeout (%s), so that a call that has begun can complete in a drain", s.DrainTimeout)
	}
}
