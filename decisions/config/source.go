package config

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Source is a place from which a VM can fetch the document. The zero value is the store.
type Source struct{ VM model.VMID }

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.VM == "" }

// fallbackAnswers is the number of answers in a row from one source after which the preferred source is tried again.
// Trying it after each answer would delay every confirmation by the sources that fail.
const fallbackAnswers = 10

// Selector chooses the source of each confirmation. Without failures only the holder of a failure domain watches the
// store, so the number of calls to the store grows with the number of failure domains and not of VMs.
type Selector struct {
	// index is the position in the cyclic list of sources; answers counts the answers in a row of that source.
	index, answers int
}

// Answered records that the last source confirmed the document. The selector stays with this source for fallbackAnswers
// answers and then returns to the preferred one.
func (s *Selector) Answered() {
	s.answers++
	if s.answers >= fallbackAnswers {
		s.index, s.answers = 0, 0
	}
}

// Failed records that the last source did not answer or that its answer did not confirm the document.
func (s *Selector) Failed() {
	s.index++
	s.answers = 0
}

// Next returns the source to ask next: the preferred one at first, and after each failure the next one of a cyclic list
// of the store, the VMs of the own failure domain and the VMs of the other failure domains.
func (s *Selector) Next(self model.Member, holder bool, members []model.Member) Source {
	order := sourceOrder(self, holder, members)
	return order[s.index%len(order)]
}

func sourceOrder(self model.Member, holder bool, members []model.Member) []Source {
	peers := slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return !m.Alive || m.VM == self.VM })
	slices.SortFunc(peers, func(a, b model.Member) int {
		return cmp.Or(cmp.Compare(rank(self, a), rank(self, b)), cmp.Compare(a.VM, b.VM))
	})
	var out []Source
	store := Source{}
	if holder || len(peers) == 0 || rank(self, peers[0]) > rankHolder {
		out = append(out, store)
	}
	for i, p := range peers {
		out = append(out, Source{VM: p.VM})
		// The store follows the first peer, because that peer may be unreachable while the store is not.
		if i == 0 {
			out = append(out, store)
		}
	}
	return out
}

// Ranks of peers as sources, in the order of preference.
const (
	rankHolder = iota
	rankSameDomain
	rankSameRegion
	rankOtherRegion
)

func rank(self, m model.Member) int {
	switch {
	case m.Domain == self.Domain && !m.Holder.IsZero():
		return rankHolder
	case m.Domain == self.Domain:
		return rankSameDomain
	case m.Region == self.Region:
		return rankSameRegion
	default:
		return rankOtherRegion
	}
}
