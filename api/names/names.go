// Package names defines the names by which the services of a daemon address each other.
package names

// Names of the services of an entry VM that runs on the users' platform.
const (
	Catalog = "catalog"
	Holder  = "holder"
	Intake  = "intake"
	Relay   = "relay"
	Gateway = "gateway"
	Upkeep  = "upkeep"
	Reload  = "reload"
	// Admission is a service of both modes.
	Admission = "admission"
	// ReadyListener is the name of the gateway's listener for readiness checks.
	ReadyListener = "ready"
)

// Names of the services of an entry VM's daemon.
const (
	Store      = "store"
	Config     = "config"
	Membership = "membership"
	Authority  = "authority"
	Scheduler  = "scheduler"
	Workers    = "workers"
	Dispatch   = "dispatch"
	Executors  = "executors"
	Routing    = "routing"
	Peers      = "peers"
	HTTP       = "http"
	Admin      = "admin"
)
