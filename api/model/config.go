package model

import "slices"

// Config is the configuration that operators maintain. One version applies to all VMs; versions only increase.
type Config struct {
	Version uint64 `json:"version"`
	// WriteID identifies the write that created this version, so that a writer whose response was lost can find out
	// whether its write was applied.
	WriteID string `json:"write_id"`
	// Recent lists the write identifiers of the latest versions, this one last.
	Recent []string `json:"recent,omitempty"`
	// InForce names the active preset.
	InForce string            `json:"in_force"`
	Presets map[string]Preset `json:"presets"`
	// Out lists the failure domains that operators have taken out of service, sorted.
	Out []FailureDomain `json:"out"`
}

// ActivePreset returns the active preset.
func (c Config) ActivePreset() Preset { return c.Presets[c.InForce] }

// IsOut reports whether operators have taken the failure domain out of service.
func (c Config) IsOut(d FailureDomain) bool { return slices.Contains(c.Out, d) }

// Preset is a set of policies that operators activate by name, such as one for each kind of day.
type Preset struct {
	Accounts map[AccountID]AccountPolicy `json:"accounts"`
	// Defragment permits the scheduler to move running preemptible jobs in order to make room for waiting gangs.
	Defragment bool `json:"defragment"`
}

// AccountPolicy gives the rights and limits of a client account.
type AccountPolicy struct {
	// Weight is the account's weight in fair-share scheduling.
	Weight int `json:"weight"`
	// QuotaGPUs bounds the account's accelerators in use in each failure domain; 0 means no bound.
	QuotaGPUs  int         `json:"quota_gpus,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// RequestsPerSecond and RequestBurst limit requests in each failure domain; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	RequestBurst      int     `json:"request_burst,omitempty"`
	// MaxQueuedJobs bounds waiting jobs in each failure domain; 0 means the default limit.
	MaxQueuedJobs int `json:"max_queued_jobs,omitempty"`
}
