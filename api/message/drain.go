package message

// DrainStarted is published when the VM begins a graceful shutdown.
type DrainStarted struct{}

// KindDrainStarted is the kind of DrainStarted, for subscriptions.
const KindDrainStarted = "drain_started"

// Kind implements kernel.Message.
func (DrainStarted) Kind() string { return KindDrainStarted }
