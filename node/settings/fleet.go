package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Fleet are the checked settings of a daemon that runs on the users' platform.
type Fleet struct {
	VM     model.VMID
	Domain model.FailureDomain
	Region model.Region
	// Listen addresses, each "IP:port": client calls, readiness checks, other VMs, and counters.
	Front, Ready, Relay, Admin string
	// Store is the address of the platform's metadata store.
	Store string
	// Advisor and Cloud are the addresses of the platform's advisory service and of its machines; empty where there are
	// none.
	Advisor, Cloud string
	// UpkeepTime is how long an upkeep of a machine takes.
	UpkeepTime time.Duration
	// Peers are addresses of other VMs, which may be stale.
	Peers []string
	// StoreTimeout bounds a call to the store.
	StoreTimeout time.Duration
	// ExecutorConns bounds the connections of this VM to each executor.
	ExecutorConns int
	// ProcessorShare is the VM's share of processors.
	ProcessorShare float64
	// Memory is the VM's memory in bytes.
	Memory int64
	// Lease is how long executors keep their runs after the last renewal.
	Lease time.Duration
	// StopBound is the longest time that an executor takes to stop a run.
	StopBound time.Duration
	// SlowFactor is how much longer a task takes away from its rack or its data.
	SlowFactor float64
	// RestoreTime is what a start from a checkpoint costs, SaveInterval the work between two checkpoints.
	RestoreTime, SaveInterval time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	// Grace is the time between the order to stop and the kill, LameDuck the part of it in which connections are accepted.
	Grace, LameDuck time.Duration
	// Verbosity is the klog level up to which messages are logged.
	Verbosity int
}

// Default values of optional settings.
const (
	// DefaultFleetConns leaves room for the connections of all VMs: one waits for ends, the others carry orders.
	DefaultFleetConns = 4
	// DefaultStoreTimeout exceeds the answer of a store that is a hundred times as slow as its usual 4 ms.
	DefaultStoreTimeout = 1200 * time.Millisecond
	// DefaultLease survives a crash of the holder: its lease of 2.5 s, the takeover and a look at each executor.
	DefaultLease = 6 * time.Second
	// DefaultLameDuck exceeds the two readiness checks, one a second, that the platform takes to notice.
	DefaultLameDuck = 2300 * time.Millisecond
	// leaseMargin keeps the lease below the longest one that executors grant.
	leaseMargin = 200 * time.Millisecond
)

var fleetSchema = map[string][]string{
	"vm":       {"id", "domain", "region"},
	"listen":   {"front", "ready", "relay", "admin"},
	"platform": {"store", "peers", "store_timeout", "advisor", "cloud", "upkeep_time"},
	"limits":   {"processor_share", "memory", "executor_connections"},
	"executor": {"lease", "longest_lease", "stop_bound", "slow_factor", "restore_time", "save_interval"},
	"timing":   {"retention", "grace", "lame_duck"},
	"log":      {"verbosity"},
}

// LoadFleet reads a file or byte slice. It returns an *Error that lists every fault.
func LoadFleet(source any) (Fleet, error) {
	r, err := newReader(source, fleetSchema, []string{"vm", "listen", "platform", "executor"})
	if err != nil {
		return Fleet{}, err
	}
	s := Fleet{
		VM:             model.VMID(r.name("vm", "id")),
		Domain:         model.FailureDomain(r.name("vm", "domain")),
		Region:         model.Region(r.name("vm", "region")),
		Front:          r.address("listen", "front"),
		Ready:          r.address("listen", "ready"),
		Relay:          r.address("listen", "relay"),
		Admin:          r.address("listen", "admin"),
		Store:          r.address("platform", "store"),
		Peers:          r.addresses("platform", "peers"),
		Advisor:        r.optionalAddress("platform", "advisor"),
		Cloud:          r.optionalAddress("platform", "cloud"),
		UpkeepTime:     r.duration("platform", "upkeep_time", 2*time.Second, 0, maxTimeout),
		StoreTimeout:   r.duration("platform", "store_timeout", DefaultStoreTimeout, minTimeout, maxTimeout),
		ExecutorConns:  r.number("limits", "executor_connections", DefaultFleetConns, 2, maxExecutorConns),
		ProcessorShare: r.fraction("limits", "processor_share", 1, 0.01, 1024),
		Memory:         r.size("limits", "memory", 256<<20, 64<<20, 1<<40),
		Lease:          r.duration("executor", "lease", DefaultLease, time.Second, maxTimeout),
		StopBound:      r.duration("executor", "stop_bound", time.Second, 0, maxTimeout),
		SlowFactor:     r.fraction("executor", "slow_factor", 1, 1, 1000),
		RestoreTime:    r.duration("executor", "restore_time", 0, 0, maxTimeout),
		SaveInterval:   r.duration("executor", "save_interval", time.Second, 0, maxTimeout),
		Retention:      r.duration("timing", "retention", 2*time.Minute, time.Second, 24*time.Hour),
		Grace:          r.duration("timing", "grace", 6*time.Second, time.Second, maxTimeout),
		LameDuck:       r.duration("timing", "lame_duck", DefaultLameDuck, 0, maxTimeout),
		Verbosity:      r.number("log", "verbosity", 0, 0, maxVerbosity),
	}
	longest := r.duration("executor", "longest_lease", s.Lease+leaseMargin, time.Second, maxTimeout)
	s.Lease = min(s.Lease, longest-leaseMargin)
	if s.LameDuck >= s.Grace {
		r.problem("timing", "lame_duck", "a duration under grace (%s), so that calls in progress can complete", s.Grace)
	}
	r.checkFleetAddresses(s)
	if len(r.problems) > 0 {
		return Fleet{}, &Error{Problems: r.problems}
	}
	return s, nil
}

// checkFleetAddresses reports addresses that two listeners share.
func (r *reader) checkFleetAddresses(s Fleet) {
	owner := make(map[string]string)
	for _, a := range [][2]string{{"front", s.Front}, {"ready", s.Ready}, {"relay", s.Relay}, {"admin", s.Admin}} {
		if other, taken := owner[a[1]]; taken && a[1] != "" {
			r.problem("listen", a[0], "an address other than that of %s", other)
		}
		owner[a[1]] = a[0]
	}
}

// optionalAddress returns "" for an absent or empty key.
func (r *reader) optionalAddress(section, key string) string {
	if r.value(section, key) == "" {
		return ""
	}
	return r.address(section, key)
}

// addresses reads a list of addresses that are separated by commas.
func (r *reader) addresses(section, key string) []string {
	var out []string
	for _, a := range strings.Split(r.value(section, key), ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if !isAddress(a) {
			r.problem(section, key, expectedAddress)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (r *reader) fraction(section, key string, def, low, high float64) float64 {
	if !r.has(section, key) {
		return def
	}
	v, err := strconv.ParseFloat(r.value(section, key), 64)
	if err != nil || v < low || v > high {
		r.problem(section, key, "a number from %g to %g", low, high)
		return def
	}
	return v
}
