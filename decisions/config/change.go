package config

import (
	"maps"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// maxRecentWrites is the number of write identifiers that a document keeps. A proposer that got no answer finds its
// write among them, unless at least as many other versions have been accepted since.
const maxRecentWrites = 64

// Propose applies a change to the current document and returns the next version. It rejects a change that was made
// against another version than the current one (failure.ConfigConflict) and one that makes the document invalid
// (failure.ConfigInvalid). domains lists the known failure domains; an empty list permits any name.
func Propose(current model.Config, expect uint64, change message.ConfigChange, writeID string, domains []model.FailureDomain) (model.Config, *failure.Error) {
	if expect != current.Version {
		return model.Config{}, failure.New(failure.ConfigConflict, "version %d is in force; the change was made against version %d", current.Version, expect)
	}
	next, fail := applyChange(current, change, domains)
	if fail != nil {
		return model.Config{}, fail
	}
	if err := Validate(next); err != nil {
		return model.Config{}, failure.New(failure.ConfigInvalid, "%v", err)
	}
	next.Version = current.Version + 1
	next.WriteID = writeID
	next.Recent = append(slices.Clone(current.Recent), writeID)
	if excess := len(next.Recent) - maxRecentWrites; excess > 0 {
		next.Recent = slices.Delete(next.Recent, 0, excess)
	}
	return next, nil
}

// applyChange returns a copy of the document with the change applied.
func applyChange(current model.Config, change message.ConfigChange, domains []model.FailureDomain) (model.Config, *failure.Error) {
	next := current
	next.Presets = maps.Clone(current.Presets)
	if next.Presets == nil {
		next.Presets = make(map[string]model.Preset)
	}
	next.Out = slices.Clone(current.Out)
	if countFields(change) != 1 {
		return current, failure.New(failure.ConfigInvalid, "a change sets exactly one field")
	}
	switch {
	case change.UsePreset != "":
		next.InForce = change.UsePreset
	case change.PutPreset != nil:
		next.Presets[change.PutPreset.Name] = change.PutPreset.Preset
		// Exactly one preset is in force at any time, so the first one of a document is put into force at once.
		if current.InForce == "" {
			next.InForce = change.PutPreset.Name
		}
	case change.TakeOut != "":
		// An unknown name is probably misspelled, and would leave the intended failure domain in service.
		if len(domains) > 0 && !slices.Contains(domains, change.TakeOut) {
			return current, failure.New(failure.ConfigInvalid, "unknown failure domain %q; known: %v", change.TakeOut, domains)
		}
		if !slices.Contains(next.Out, change.TakeOut) {
			next.Out = append(next.Out, change.TakeOut)
			slices.Sort(next.Out)
		}
	case change.BringIn != "":
		if !slices.Contains(next.Out, change.BringIn) {
			return current, failure.New(failure.ConfigInvalid, "failure domain %q is not out", change.BringIn)
		}
		next.Out = slices.DeleteFunc(next.Out, func(d model.FailureDomain) bool { return d == change.BringIn })
	}
	return next, nil
}

func countFields(change message.ConfigChange) int {
	n := 0
	for _, set := range []bool{change.UsePreset != "", change.PutPreset != nil, change.TakeOut != "", change.BringIn != ""} {
		if set {
			n++
		}
	}
	return n
}

// WriteOutcome is the outcome of a write that got no answer.
type WriteOutcome int

// Outcomes of a write.
const (
	// Unresolved means that it is unknown whether the write was accepted, because too many versions have followed.
	Unresolved WriteOutcome = iota
	// Accepted means that the write took effect.
	Accepted
	// Rejected means that the write did not take effect and no longer can.
	Rejected
	// Pending means that the write has not taken effect yet. It may still do so, and may be sent again unchanged.
	Pending
)

// Resolve determines the outcome of a write from the document that the store held after the write was sent.
func Resolve(written, found model.Config) WriteOutcome {
	switch {
	case slices.Contains(found.Recent, written.WriteID):
		return Accepted
	case found.Version < written.Version:
		return Pending
	case found.Version-written.Version < maxRecentWrites:
		return Rejected
	default:
		return Unresolved
	}
}
