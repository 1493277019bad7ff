package config

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Source is where a VM asks for the document next. The zero value means the store.
type Source struct{ VM model.VMID }

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.VM == "" }

// stickyAnswers is the number of answers after which the preferred source is tried again. Trying it after
// each answer would make every confirmation wait for the sources that fail.
const stickyAnswers = 10

// Selector chooses the source of each confirmation. Only the holder of a failure domain watches the store
// as long as all parts work, so that calls to the store grow with failure domains and not with VMs.
type Selector struct {
	// position is the place in the ring of sources, and answers the number of answers in a row there.
	position, answers int
}

// Answered records that the last source confirmed the document. The selector stays with it for a while.
func (s *Selector) Answered() {
	s.answers++
	if s.answers >= stickyAnswers {
		s.position, s.answers = 0, 0
	}
}

// Failed records that the last source did not answer, or answered with a document that is not confirmed.
func (s *Selector) Failed() {
	s.position++
	s.answers = 0
}

// Next returns the next source: the preferred one, and after each failure the next of a ring of the
// store, the VMs of the own failure domain and the VMs of the other failure domains.
func (s *Selector) Next(self model.Member, holder bool, members []model.Member) Source {
	ring := ring(self, holder, members)
	return ring[s.position%len(ring)]
}

func ring(self model.Member, holder bool, members []model.Member) []Source {
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
		// The store is asked between peers, because one peer may be cut off while the store is not.
		if i == 0 {
			out = append(out, store)
		}
	}
	return out
}

// Ranks of peers as sources, the best first.
const (
	rankHolder = iota
	rankDomain
	rankRegion
	rankFar
)

func rank(self, m model.Member) int {
	switch {
	case m.Domain == self.Domain && !m.Holder.IsZero():
		return rankHolder
	case m.Domain == self.Domain:
		return rankDomain
	case m.Region == self.Region:
		return rankRegion
	default:
		return rankFar
	}
}
