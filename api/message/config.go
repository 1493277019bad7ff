package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// ConfigGet asks the config service for the document in force; answered by ConfigReply.
type ConfigGet struct{}

// ConfigPropose asks for a change against the version that the operator saw; answered by ConfigReply.
type ConfigPropose struct {
	Expect uint64
	Change ConfigChange
}

// ConfigChange is one change of the document. Exactly one field is set.
type ConfigChange struct {
	UsePreset string              `json:"use_preset,omitempty"`
	PutPreset *NamedPreset        `json:"put_preset,omitempty"`
	TakeOut   model.FailureDomain `json:"take_out,omitempty"`
	BringIn   model.FailureDomain `json:"bring_in,omitempty"`
}

// NamedPreset is a preset with its name.
type NamedPreset struct {
	Name   string       `json:"name"`
	Preset model.Preset `json:"preset"`
}

// ConfigReply carries the document in force.
type ConfigReply struct {
	Config model.Config
	// Age is the time since the document was last confirmed as current.
	Age time.Duration
}

// ConfigLearned delivers a document that another VM applies; answered by ConfigReply.
type ConfigLearned struct {
	Config model.Config
	// Age is the time since the sender last knew it to be current.
	Age time.Duration
}

// ConfigChanged is published when the document or the time of its last confirmation changes.
type ConfigChanged struct {
	Config model.Config
	// Confirmed is the local time at which the document was last known to be current.
	Confirmed time.Time
}

// KindConfigChanged is the kind of ConfigChanged, for subscriptions.
const KindConfigChanged = "config_changed"

// Kind implements kernel.Message.
func (ConfigGet) Kind() string { return "config_get" }

// Kind implements kernel.Message.
func (ConfigPropose) Kind() string { return "config_propose" }

// Kind implements kernel.Message.
func (ConfigReply) Kind() string { return "config_reply" }

// Kind implements kernel.Message.
func (ConfigLearned) Kind() string { return "config_learned" }

// Kind implements kernel.Message.
func (ConfigChanged) Kind() string { return KindConfigChanged }
