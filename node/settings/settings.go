// Package settings reads and checks the INI settings of a daemon.
package settings

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	VM     model.VMID
	Domain model.FailureDomain
	Region model.Region
	// Listen addresses, each "IP:port".
	HTTP, Peers, Admin string
	// Addresses of the platform's services, each "IP:port".
	Store, VMList string
	// Members lists the other entry VMs.
	Members []model.Member
}

// Problem is one fault in the settings.
type Problem struct{ Section, Key, Expected string }

// Error lists all faults of the settings at once.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("[%s] %s: expected %s", p.Section, p.Key, p.Expected))
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// schema lists the known keys of each section; a section without keys accepts any key.
var schema = map[string][]string{
	"vm":       {"id", "domain", "region"},
	"listen":   {"http", "peers", "admin"},
	"platform": {"store", "vmlist"},
	"peers":    nil,
}

// Load reads a file or byte slice. It returns an *Error that lists every fault.
func Load(source any) (Settings, error) {
	file, err := ini.Load(source)
	if err != nil {
		return Settings{}, &Error{Problems: []Problem{{"-", "-", fmt.Sprintf("readable INI: %v", err)}}}
	}
	r := &reader{file: file}
	r.checkUnknown()
	s := Settings{
		VM:     model.VMID(r.text("vm", "id")),
		Domain: model.FailureDomain(r.text("vm", "domain")),
		Region: model.Region(r.text("vm", "region")),
		HTTP:   r.address("listen", "http"),
		Peers:  r.address("listen", "peers"),
		Admin:  r.address("listen", "admin"),
		Store:  r.address("platform", "store"),
		VMList: r.address("platform", "vmlist"),
	}
	s.Members = r.members()
	if len(r.problems) > 0 {
		return Settings{}, &Error{Problems: r.problems}
	}
	return s, nil
}

// reader collects the faults of a file.
type reader struct {
	file     *ini.File
	problems []Problem
}

func (r *reader) problem(section, key, expected string) {
	r.problems = append(r.problems, Problem{section, key, expected})
}

func (r *reader) checkUnknown() {
	for _, s := range r.file.Sections() {
		known, ok := schema[s.Name()]
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !ok {
			r.problem(s.Name(), "-", "no such section")
			continue
		}
		for _, k := range s.Keys() {
			if known != nil && !slices.Contains(known, k.Name()) {
				r.problem(s.Name(), k.Name(), "no such key")
			}
		}
	}
}

func (r *reader) text(section, key string) string {
	v := r.file.Section(section).Key(key).String()
	if v == "" {
		r.problem(section, key, "a value")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v := r.file.Section(section).Key(key).String()
	if !isAddress(v) {
		r.problem(section, key, `an address "IP:port"`)
	}
	return v
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// members reads lines of the form "vm = address domain region".
func (r *reader) members() []model.Member {
	var out []model.Member
	for _, k := range r.file.Section("peers").Keys() {
		f := strings.Fields(k.String())
		if len(f) != 3 || !isAddress(f[0]) {
			r.problem("peers", k.Name(), `"IP:port domain region"`)
			continue
		}
		out = append(out, model.Member{
			VM: model.VMID(k.Name()), Address: f[0],
			Domain: model.FailureDomain(f[1]), Region: model.Region(f[2]),
		})
	}
	return out
}
