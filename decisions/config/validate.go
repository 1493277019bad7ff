// Package config validates configuration documents, decides which changes are accepted, and selects the document that a
// VM applies and the source that confirms it.
package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// maxPresets limits the presets of a document and maxAccounts the client accounts of a preset, so that the document
	// stays well below the limit of 1 MB for a store value.
	maxPresets  = 32
	maxAccounts = 512
	// maxNameBytes limits the length of each name in the document.
	maxNameBytes = 64
)

// Problem is one validation error of a document.
type Problem struct {
	// Path is the path of the invalid value, for example "presets.peak.accounts.acme.weight".
	Path string
	// Expected describes the valid values.
	Expected string
}

// InvalidError lists all validation errors of a document.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": expected "+p.Expected)
	}
	return strings.Join(lines, "; ")
}

// Validate returns nil for a valid document, or an *InvalidError that lists every validation error.
func Validate(doc model.Config) error {
	var v validator
	v.require(len(doc.Presets) >= 1 && len(doc.Presets) <= maxPresets, "presets", fmt.Sprintf("1 to %d presets", maxPresets))
	_, presetExists := doc.Presets[doc.InForce]
	v.require(presetExists, "in_force", "the name of a preset")
	for _, name := range sortedKeys(doc.Presets) {
		v.preset("presets."+name, name, doc.Presets[name])
	}
	for _, d := range doc.Out {
		v.name("out", string(d))
	}
	if len(v.problems) > 0 {
		return &InvalidError{Problems: v.problems}
	}
	return nil
}

type validator struct{ problems []Problem }

func (v *validator) require(ok bool, path, expected string) {
	if !ok {
		v.problems = append(v.problems, Problem{Path: path, Expected: expected})
	}
}

func (v *validator) name(path, name string) {
	v.require(name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/: \t\n"), path,
		fmt.Sprintf("a name of 1 to %d bytes without slash, colon and white space", maxNameBytes))
}

func (v *validator) preset(path, name string, p model.Preset) {
	v.name(path, name)
	v.require(len(p.Accounts) <= maxAccounts, path+".accounts", fmt.Sprintf("at most %d client accounts", maxAccounts))
	for _, id := range sortedKeys(p.Accounts) {
		accountPath := path + ".accounts." + string(id)
		v.name(accountPath, string(id))
		v.account(accountPath, p.Accounts[id])
	}
}

func (v *validator) account(path string, a model.AccountPolicy) {
	v.require(a.Weight >= 1, path+".weight", "a whole number of at least 1")
	v.require(a.QuotaGPUs >= 0, path+".quota_gpus", "0 for no bound, or a positive number of GPUs")
	v.require(a.RequestsPerSecond >= 0, path+".requests_per_second", "0 for no limit, or a positive rate")
	v.require(a.RequestBurst >= 0, path+".request_burst", "a number of requests that is not negative")
	v.require(a.RequestsPerSecond == 0 || a.RequestBurst > 0, path+".request_burst", "at least 1 where a rate is set")
	v.require(a.MaxQueuedJobs >= 0, path+".max_queued_jobs", "0 for the built-in bound, or a positive number of jobs")
	for i, g := range a.Guarantees {
		v.guarantee(fmt.Sprintf("%s.guarantees[%d]", path, i), a, g)
	}
}

func (v *validator) guarantee(path string, a model.AccountPolicy, g model.Guarantee) {
	v.name(path+".domain", string(g.Domain))
	gpus := 0
	for _, c := range g.Cells {
		v.require(c.Level.GPUs() > 0, path+".cells", `levels "gpu", "half", "worker" or "rack"`)
		v.require(c.Count >= 1, path+".cells", "counts of at least 1")
		gpus += c.Level.GPUs() * c.Count
	}
	v.require(a.QuotaGPUs == 0 || gpus <= a.QuotaGPUs, path, "a shape within quota_gpus")
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
