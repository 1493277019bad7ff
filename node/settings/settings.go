// Package settings reads and validates the INI settings of a daemon.
package settings

import (
	"crypto/tls"
	"fmt"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Settings holds the validated settings of one daemon.
type Settings struct {
	VM     model.VMID
	Domain model.FailureDomain
	Region model.Region
	// Installation is the name of the deployment that this VM belongs to; calls from VMs of another one are refused.
	// It may be empty.
	Installation string
	// HTTP, Peers and Admin are the listen addresses, each "IP:port", for clients, other entry VMs, and health and
	// metrics.
	HTTP, Peers, Admin string
	// TLS is the certificate of the HTTP listener; nil means plain HTTP.
	TLS *tls.Certificate
	// Store and VMList are the addresses of the platform's services, each "IP:port".
	Store, VMList string
	// Members lists the other entry VMs.
	Members []model.Member
	// ExecutorConns bounds the connections of this VM to each executor.
	ExecutorConns int
	// MaxBodyBytes is the largest accepted body of an HTTP request in bytes.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time to read the header of an HTTP request.
	HeaderTimeout time.Duration
	// DrainTimeout bounds the time that a graceful shutdown waits for HTTP requests in progress.
	DrainTimeout time.Duration
	// Verbosity is the klog level up to which messages are logged.
	Verbosity int
}

// Default values of optional settings.
const (
	// DefaultExecutorConns keeps the 7 entry VMs together below the 60 connections that an executor accepts.
	DefaultExecutorConns = 8
	// DefaultMaxBodyBytes equals the largest value that the store accepts, in bytes.
	DefaultMaxBodyBytes  = 1 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultDrainTimeout  = 30 * time.Second
)

// Bounds of optional settings.
const (
	maxExecutorConns = 60
	minBody          = 1 << 10
	maxBody          = 64 << 20
	minTimeout       = 100 * time.Millisecond
	maxTimeout       = 10 * time.Minute
	maxVerbosity     = 9
)

// Problem is one invalid, missing or unknown setting. Key is "-" if it concerns a whole section.
type Problem struct{ Section, Key, Expected string }

// Error lists all problems of the settings.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("[%s] %s: expected %s", p.Section, p.Key, p.Expected))
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// schema lists the known keys of each section; a section whose list is nil accepts any key.
var schema = map[string][]string{
	"vm":       {"id", "domain", "region", "installation"},
	"listen":   {"http", "peers", "admin", "tls_certificate", "tls_key"},
	"platform": {"store", "vmlist"},
	"peers":    nil,
	"limits":   {"executor_connections", "max_body"},
	"timing":   {"header_timeout", "drain_timeout"},
	"log":      {"verbosity"},
}

// requiredSections lists the sections that every file must have.
var requiredSections = []string{"vm", "listen", "platform", "peers"}

// Load reads the settings from a file name or byte slice. It returns an *Error that lists all problems.
func Load(source any) (Settings, error) {
	r, err := newReader(source, schema, requiredSections)
	if err != nil {
		return Settings{}, err
	}
	s := r.settings()
	r.checkAddresses(s)
	r.checkMembers(s)
	r.checkTimes(s)
	if len(r.problems) > 0 {
		return Settings{}, &Error{Problems: r.problems}
	}
	return s, nil
}

func (r *reader) settings() Settings {
	return Settings{
		VM:            model.VMID(r.name("vm", "id")),
		Domain:        model.FailureDomain(r.name("vm", "domain")),
		Region:        model.Region(r.name("vm", "region")),
		Installation:  r.optionalName("vm", "installation"),
		HTTP:          r.address("listen", "http"),
		Peers:         r.address("listen", "peers"),
		Admin:         r.address("listen", "admin"),
		TLS:           r.certificate("listen", "tls_certificate", "tls_key"),
		Store:         r.address("platform", "store"),
		VMList:        r.address("platform", "vmlist"),
		Members:       r.members(),
		ExecutorConns: r.integer("limits", "executor_connections", DefaultExecutorConns, 1, maxExecutorConns),
		MaxBodyBytes:  r.size("limits", "max_body", DefaultMaxBodyBytes, minBody, maxBody),
		HeaderTimeout: r.duration("timing", "header_timeout", DefaultHeaderTimeout, minTimeout, maxTimeout),
		DrainTimeout:  r.duration("timing", "drain_timeout", DefaultDrainTimeout, minTimeout, maxTimeout),
		Verbosity:     r.integer("log", "verbosity", 0, 0, maxVerbosity),
	}
}
