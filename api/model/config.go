package model

import "slices"

// Config is the operators' document. One version is in force everywhere; versions only grow.
type Config struct {
	Version uint64 `json:"version"`
	// WriteID identifies the write that made this version, so that a lost response can be resolved.
	WriteID string `json:"write_id"`
	// Recent lists the write identifiers of the latest versions, this one last.
	Recent []string `json:"recent,omitempty"`
	// InForce names the preset in force.
	InForce string            `json:"in_force"`
	Presets map[string]Preset `json:"presets"`
	// Out lists the failure domains that operators have taken out, sorted.
	Out []FailureDomain `json:"out"`
}

// Current returns the preset in force.
func (c Config) Current() Preset { return c.Presets[c.InForce] }

// IsOut reports whether operators have taken the failure domain out.
func (c Config) IsOut(d FailureDomain) bool { return slices.Contains(c.Out, d) }

// Preset is a named set of policies for one kind of day.
type Preset struct {
	Accounts map[AccountID]AccountPolicy `json:"accounts"`
	// Defragment permits moves of running preemptible jobs that make room for waiting gangs.
	Defragment bool `json:"defragment"`
}

// AccountPolicy gives the rights and limits of a client account.
type AccountPolicy struct {
	// Weight is the account's part in the fair share.
	Weight int `json:"weight"`
	// QuotaGPUs bounds the account's accelerators in use in each failure domain; 0 means no bound.
	QuotaGPUs  int         `json:"quota_gpus,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// RequestsPerSecond and RequestBurst limit requests in each failure domain; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	RequestBurst      int     `json:"request_burst,omitempty"`
	// MaxQueuedJobs bounds waiting jobs in each failure domain; 0 means the built-in bound.
	MaxQueuedJobs int `json:"max_queued_jobs,omitempty"`
}
