package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// ConfigGet asks the config service for the current configuration; answered by ConfigReply.
type ConfigGet struct{}

// ConfigPropose asks for a change on the condition that Expect is the current version; answered by ConfigReply.
type ConfigPropose struct {
	Expect uint64
	Change ConfigChange
}

// ConfigChange is one change of the configuration. Exactly one field is set.
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

// ConfigReply carries the current configuration.
type ConfigReply struct {
	Config model.Config
	// Age is the time since the configuration was last confirmed as current.
	Age time.Duration
}

// ConfigPull asks the config service of another VM for its configuration; answered by ConfigPulled as soon as
// its write identifier differs from Have, or after Wait.
type ConfigPull struct {
	Have string
	Wait time.Duration
}

// ConfigPulled is the answer to ConfigPull.
type ConfigPulled struct {
	// Config is empty if its write identifier equals Have.
	Config  model.Config
	WriteID string
	// Age is the time between the last confirmation of the configuration as current and this reply.
	Age time.Duration
	// Held is the time for which the sender held the reply back. The caller adds it to the time of its call to
	// convert Age to its own clock without comparing clocks.
	Held time.Duration
}

// ConfigChanged is published when the configuration or the time of its last confirmation changes.
type ConfigChanged struct {
	Config model.Config
	// Confirmed is the local time at which the configuration was last known to be current.
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
func (ConfigPull) Kind() string { return "config_pull" }

// Kind implements kernel.Message.
func (ConfigPulled) Kind() string { return "config_pulled" }

// Kind implements kernel.Message.
func (ConfigChanged) Kind() string { return KindConfigChanged }
