package config

import (
	"maps"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// maxRecent is the number of write identifiers that a document remembers. A proposer whose answer was
// lost finds its write among them unless more versions have been accepted since.
const maxRecent = 64

// Propose returns the document that a change makes of the current one. It refuses a change whose operator
// saw another version (failure.ConfigConflict) and one that makes the document invalid
// (failure.ConfigInvalid). domains lists the known failure domains; an empty list permits any.
func Propose(current model.Config, expect uint64, ch message.ConfigChange, writeID string, domains []model.FailureDomain) (model.Config, *failure.Error) {
	if expect != current.Version {
		return model.Config{}, failure.New(failure.ConfigConflict, "version %d is in force; the change was made against version %d", current.Version, expect)
	}
	next, fail := apply(current, ch, domains)
	if fail != nil {
		return model.Config{}, fail
	}
	if err := Validate(next); err != nil {
		return model.Config{}, failure.New(failure.ConfigInvalid, "%v", err)
	}
	next.Version = current.Version + 1
	next.WriteID = writeID
	next.Recent = append(slices.Clone(current.Recent), writeID)
	if extra := len(next.Recent) - maxRecent; extra > 0 {
		next.Recent = slices.Delete(next.Recent, 0, extra)
	}
	return next, nil
}

// apply returns a copy of the document with one change.
func apply(doc model.Config, ch message.ConfigChange, domains []model.FailureDomain) (model.Config, *failure.Error) {
	next := doc
	next.Presets = maps.Clone(doc.Presets)
	if next.Presets == nil {
		next.Presets = make(map[string]model.Preset)
	}
	next.Out = slices.Clone(doc.Out)
	if fields(ch) != 1 {
		return doc, failure.New(failure.ConfigInvalid, "a change sets exactly one field")
	}
	switch {
	case ch.UsePreset != "":
		next.InForce = ch.UsePreset
	case ch.PutPreset != nil:
		next.Presets[ch.PutPreset.Name] = ch.PutPreset.Preset
		// The first preset of a document is in force, because exactly one preset always is.
		if doc.InForce == "" {
			next.InForce = ch.PutPreset.Name
		}
	case ch.TakeOut != "":
		// A misspelled name would leave the real failure domain in service.
		if len(domains) > 0 && !slices.Contains(domains, ch.TakeOut) {
			return doc, failure.New(failure.ConfigInvalid, "unknown failure domain %q; known: %v", ch.TakeOut, domains)
		}
		if !slices.Contains(next.Out, ch.TakeOut) {
			next.Out = append(next.Out, ch.TakeOut)
			slices.Sort(next.Out)
		}
	case ch.BringIn != "":
		if !slices.Contains(next.Out, ch.BringIn) {
			return doc, failure.New(failure.ConfigInvalid, "failure domain %q is not out", ch.BringIn)
		}
		next.Out = slices.DeleteFunc(next.Out, func(d model.FailureDomain) bool { return d == ch.BringIn })
	}
	return next, nil
}

func fields(ch message.ConfigChange) int {
	n := 0
	for _, set := range []bool{ch.UsePreset != "", ch.PutPreset != nil, ch.TakeOut != "", ch.BringIn != ""} {
		if set {
			n++
		}
	}
	return n
}

// WriteOutcome tells what became of a write whose answer was lost.
type WriteOutcome int

// Outcomes of a write.
const (
	// Unresolved means that the write may have been accepted and replaced since.
	Unresolved WriteOutcome = iota
	// Accepted means that the write took effect.
	Accepted
	// Rejected means that the write did not take effect and no longer can.
	Rejected
	// Absent means that the write has not taken effect; it may be sent again.
	Absent
)

// Resolve compares a write with the document that the store held after the write was sent.
func Resolve(written, found model.Config) WriteOutcome {
	switch {
	case slices.Contains(found.Recent, written.WriteID):
		return Accepted
	case found.Version < written.Version:
		return Absent
	case found.Version-written.Version < maxRecent:
		return Rejected
	default:
		return Unresolved
	}
}
