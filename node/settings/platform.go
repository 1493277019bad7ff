package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

// Platform holds the validated settings of a daemon that runs on the users' platform.
type Platform struct {
	VM     model.VMID
	Domain model.FailureDomain
	Region model.Region
	// Front, Ready, Relay and Admin are the listen addresses, each "IP:port", for client calls, readiness checks, calls
	// of other VMs, and metrics.
	Front, Ready, Relay, Admin string
	// Store is the address of the platform's metadata store.
	Store string
	// Advisor and Cloud are the addresses of the platform's advisory service and of its machine API; empty if the
	// platform has none.
	Advisor, Cloud string
	// UpkeepTime is the duration of the upkeep (maintenance) of a machine.
	UpkeepTime time.Duration
	// Peers are the addresses of other entry VMs. They may be stale.
	Peers []string
	// StoreTimeout bounds a call to the store.
	StoreTimeout time.Duration
	// ExecutorConns bounds the connections of this VM to each executor.
	ExecutorConns int
	// ProcessorShare is the CPU share of the VM, in processors. VMs with a larger share become candidates for the holder
	// role earlier.
	ProcessorShare float64
	// Memory is the VM's memory in bytes.
	Memory int64
	// Descriptors is the number of file descriptors of the VM's process; 0 means the limit that the process finds.
	Descriptors int
	// ClientMemory is the memory in bytes that the connections and requests of clients take together.
	ClientMemory int64
	// Limits are the times that clients have.
	Limits listener.Limits
	// Records are the limits of what a client account adds to the store through this VM.
	Records recordlimit.Settings
	// Lease is the time for which an executor keeps its runs after the last renewal of its lease.
	Lease time.Duration
	// LongestLease is the longest lease that executors grant.
	LongestLease time.Duration
	// MaxStopTime is the longest time that an executor takes to stop a run.
	MaxStopTime time.Duration
	// RemoteSlowdown is the factor by which the run time of a task grows if it runs outside its rack or away from its
	// data.
	RemoteSlowdown float64
	// CheckpointRestoreTime is the time that a start from a checkpoint takes, CheckpointInterval the run time between
	// two checkpoints.
	CheckpointRestoreTime, CheckpointInterval time.Duration
	// Retention is the time for which the state of an ended job is kept.
	Retention time.Duration
	// ChooseVictims selects the victims of preemptions by the least lost work, and waits for units that end in time.
	ChooseVictims bool
	// LearnRunTimes is set if the holder learns run times and the pace of executors from finished runs.
	LearnRunTimes bool
	// GracePeriod is the time between the platform's order to stop and the kill of the process. LameDuck is the first
	// part of it, in which the VM is not ready but still accepts connections.
	GracePeriod, LameDuck time.Duration
	// Verbosity is the klog level up to which messages are logged.
	Verbosity int
}

// Default values of optional settings.
const (
	// DefaultPlatformExecutorConns is low so that each executor can serve the connections of all VMs. One connection
	// waits for runs to end, the others carry orders.
	DefaultPlatformExecutorConns = 4
	// DefaultStoreTimeout exceeds the response time of a store that is 100 times slower than its usual 4 ms.
	DefaultStoreTimeout = 1200 * time.Millisecond
	// DefaultLease outlasts a crash of the holder: the rest of the holder's lease of 2.5 s, the takeover by
	// another VM and its first poll of each executor.
	DefaultLease = 6 * time.Second
	// DefaultLameDuck exceeds the time of the two failed readiness checks, one per second, after which the platform
	// sends no more connections.
	DefaultLameDuck = 2300 * time.Millisecond
	// ClientMemoryPart is the part of the VM's memory that clients may take by default. The holder of 297 VMs takes 149 MB on a
	// VM of 184 MB (docs/CAPACITY.md).
	ClientMemoryPart = 6
	// minClientMemory leaves the largest request (3.7 MB) its room beside all connections and the part kept for small ones.
	minClientMemory = 10 << 20
	// maxRecordBytes is the largest record, a value of the store.
	maxRecordBytes = 1 << 20
	// minDescriptors leaves a quarter for clients and the rest for the store, executors and other VMs.
	minDescriptors = 64
	maxDescriptors = 1 << 20
	// leaseMargin is the minimum difference between the executor lease and the longest lease that executors grant.
	leaseMargin = 200 * time.Millisecond
)

var platformSchema = map[string][]string{
	"vm":         {"id", "domain", "region"},
	"listen":     {"front", "ready", "relay", "admin"},
	"platform":   {"store", "peers", "store_timeout", "advisor", "cloud", "upkeep_time"},
	"limits":     {"processor_share", "memory", "descriptors", "client_memory", "executor_connections"},
	"clients":    {"header_time", "body_time", "body_rate", "answer_time", "idle_time"},
	"accounts":   {"records_per_second", "records_burst", "records", "tombstones"},
	"executor":   {"lease", "longest_lease", "stop_bound", "slow_factor", "restore_time", "save_interval"},
	"scheduling": {"choose_victims", "learn_run_times"},
	"timing":     {"retention", "grace", "lame_duck"},
	"log":        {"verbosity"},
}

// LoadPlatform reads the settings from a file name or byte slice. It returns an *Error that lists all problems.
func LoadPlatform(source any) (Platform, error) {
	r, err := newReader(source, platformSchema, []string{"vm", "listen", "platform", "executor"})
	if err != nil {
		return Platform{}, err
	}
	s := Platform{
		VM:                    model.VMID(r.name("vm", "id")),
		Domain:                model.FailureDomain(r.name("vm", "domain")),
		Region:                model.Region(r.name("vm", "region")),
		Front:                 r.address("listen", "front"),
		Ready:                 r.address("listen", "ready"),
		Relay:                 r.address("listen", "relay"),
		Admin:                 r.address("listen", "admin"),
		Store:                 r.address("platform", "store"),
		Peers:                 r.addresses("platform", "peers"),
		Advisor:               r.optionalAddress("platform", "advisor"),
		Cloud:                 r.optionalAddress("platform", "cloud"),
		UpkeepTime:            r.duration("platform", "upkeep_time", 2*time.Second, 0, maxTimeout),
		StoreTimeout:          r.duration("platform", "store_timeout", DefaultStoreTimeout, minTimeout, maxTimeout),
		ExecutorConns:         r.integer("limits", "executor_connections", DefaultPlatformExecutorConns, 2, maxExecutorConns),
		ProcessorShare:        r.float("limits", "processor_share", 1, 0.01, 1024),
		Memory:                r.size("limits", "memory", 256<<20, 64<<20, 1<<40),
		Lease:                 r.duration("executor", "lease", DefaultLease, time.Second, maxTimeout),
		MaxStopTime:           r.duration("executor", "stop_bound", time.Second, 0, maxTimeout),
		RemoteSlowdown:        r.float("executor", "slow_factor", 1, 1, 1000),
		CheckpointRestoreTime: r.duration("executor", "restore_time", 0, 0, maxTimeout),
		CheckpointInterval:    r.duration("executor", "save_interval", time.Second, 0, maxTimeout),
		ChooseVictims:         r.boolean("scheduling", "choose_victims", false),
		Retention:             r.duration("timing", "retention", 2*time.Minute, time.Second, 24*time.Hour),
		LearnRunTimes:         r.boolean("scheduling", "learn_run_times", false),
		GracePeriod:           r.duration("timing", "grace", 6*time.Second, time.Second, maxTimeout),
		LameDuck:              r.duration("timing", "lame_duck", DefaultLameDuck, 0, maxTimeout),
		Verbosity:             r.integer("log", "verbosity", 0, 0, maxVerbosity),
	}
	if r.value("limits", "descriptors") != "" {
		// A platform without this figure leaves the value empty.
		s.Descriptors = r.integer("limits", "descriptors", 0, minDescriptors, maxDescriptors)
	}
	s.ClientMemory = r.size("limits", "client_memory", max(minClientMemory, s.Memory/ClientMemoryPart), minClientMemory, 1<<40)
	s.Limits = r.clientLimits()
	s.Records = r.recordLimits()
	if s.ClientMemory > s.Memory/2 {
		r.addProblem("limits", "client_memory", "at most half of memory (%d MiB)", s.Memory>>20)
	}
	s.LongestLease = r.duration("executor", "longest_lease", s.Lease+leaseMargin, time.Second, maxTimeout)
	s.Lease = min(s.Lease, s.LongestLease-leaseMargin)
	if s.LameDuck >= s.GracePeriod {
		r.addProblem("timing", "lame_duck", "a duration below grace (%s), so that calls in progress can complete", s.GracePeriod)
	}
	r.checkPlatformAddresses(s)
	if len(r.problems) > 0 {
		return Platform{}, &Error{Problems: r.problems}
	}
	return s, nil
}

// clientLimits reads the times that clients have.
func (r *reader) clientLimits() listener.Limits {
	d := listener.DefaultLimits()
	return listener.Limits{
		HeaderTime: r.duration("clients", "header_time", d.HeaderTime, minTimeout, maxTimeout),
		BodyTime:   r.duration("clients", "body_time", d.BodyTime, minTimeout, maxTimeout),
		BodyRate:   r.size("clients", "body_rate", d.BodyRate, 1, 1<<30),
		AnswerTime: r.duration("clients", "answer_time", d.AnswerTime, minTimeout, maxTimeout),
		IdleTime:   r.duration("clients", "idle_time", d.IdleTime, minTimeout, maxTimeout),
	}
}

// recordLimits reads the limits of what a client account adds to the store.
func (r *reader) recordLimits() recordlimit.Settings {
	d := recordlimit.DefaultSettings()
	return recordlimit.Settings{
		Rate:       r.float("accounts", "records_per_second", d.Rate, 1, 1e6),
		Burst:      r.integer("accounts", "records_burst", d.Burst, recordlimit.Units(maxRecordBytes), 1e6),
		Window:     d.Window,
		Records:    r.integer("accounts", "records", d.Records, recordlimit.Units(maxRecordBytes), 1e9),
		Tombstones: r.integer("accounts", "tombstones", d.Tombstones, 1, 1e9),
	}
}

// checkPlatformAddresses reports listen addresses that are used twice.
func (r *reader) checkPlatformAddresses(s Platform) {
	usedBy := make(map[string]string)
	for _, a := range [][2]string{{"front", s.Front}, {"ready", s.Ready}, {"relay", s.Relay}, {"admin", s.Admin}} {
		if other, used := usedBy[a[1]]; used && a[1] != "" {
			r.addProblem("listen", a[0], "an address other than that of %s", other)
		}
		usedBy[a[1]] = a[0]
	}
}

// optionalAddress reads an address, or returns "" if the key is absent or empty.
func (r *reader) optionalAddress(section, key string) string {
	if r.value(section, key) == "" {
		return ""
	}
	return r.address(section, key)
}

// addresses reads a comma-separated list of addresses.
func (r *reader) addresses(section, key string) []string {
	var out []string
	for _, a := range strings.Split(r.value(section, key), ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if !isAddress(a) {
			r.addProblem(section, key, expectedAddress)
			continue
		}
		out = append(out, a)
	}
	return out
}

func (r *reader) float(section, key string, def, low, high float64) float64 {
	if !r.hasKey(section, key) {
		return def
	}
	v, err := strconv.ParseFloat(r.value(section, key), 64)
	if err != nil || v < low || v > high {
		r.addProblem(section, key, "a number from %g to %g", low, high)
		return def
	}
	return v
}
