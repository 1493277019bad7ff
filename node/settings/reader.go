package settings

import (
	"crypto/tls"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// namePattern excludes the characters that are separators in store keys and tickets.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const (
	expectedName    = `a name of up to 64 letters, digits, ".", "_" and "-"`
	expectedAddress = `an address "IP:port" with a port from 1 to 65535`
)

// sizeUnits lists the units in bytes. Longer names come first, because "B" is a suffix of the others.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// reader reads typed values from an INI file and collects the problems that it finds.
type reader struct {
	file *ini.File
	// schema lists the known keys of each section; required lists the sections that must be present.
	schema   map[string][]string
	required []string
	problems []Problem
}

// newReader parses a file or byte slice and checks its sections and keys. It returns an *Error if the source cannot be
// read as INI.
func newReader(source any, schema map[string][]string, required []string) (*reader, error) {
	// With shadow values, checkKeys can detect keys that occur twice.
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return nil, &Error{Problems: []Problem{{"-", "-", fmt.Sprintf("readable INI: %v", err)}}}
	}
	r := &reader{file: file, schema: schema, required: required}
	r.checkSections()
	return r, nil
}

func (r *reader) addProblem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{section, key, fmt.Sprintf(format, args...)})
}

// checkSections reports missing and unknown sections, unknown keys and keys that occur twice.
func (r *reader) checkSections() {
	for _, name := range r.required {
		if !r.file.HasSection(name) {
			r.addProblem(name, "-", "the section to be present")
		}
	}
	for _, s := range r.file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		known, ok := r.schema[s.Name()]
		if !ok {
			r.addProblem(s.Name(), "-", "one of the sections %s", strings.Join(slices.Sorted(maps.Keys(r.schema)), ", "))
			continue
		}
		r.checkKeys(s, known)
	}
}

func (r *reader) checkKeys(s *ini.Section, known []string) {
	for _, k := range s.Keys() {
		if known != nil && !slices.Contains(known, k.Name()) {
			r.addProblem(s.Name(), k.Name(), "one of the keys %s", strings.Join(known, ", "))
		}
		if len(k.ValueWithShadows()) > 1 {
			r.addProblem(s.Name(), k.Name(), "the key to occur only once")
		}
	}
}

// value returns the raw text of a key, without expansion of references to other keys, or "" if the key is absent.
func (r *reader) value(section, key string) string {
	if !r.hasKey(section, key) {
		return ""
	}
	return r.file.Section(section).Key(key).Value()
}

func (r *reader) name(section, key string) string {
	v := r.value(section, key)
	if !namePattern.MatchString(v) {
		r.addProblem(section, key, expectedName)
	}
	return v
}

// optionalName reads a name, or returns "" if the key is absent.
func (r *reader) optionalName(section, key string) string {
	if !r.file.Section(section).HasKey(key) {
		return ""
	}
	return r.name(section, key)
}

func (r *reader) address(section, key string) string {
	v := r.value(section, key)
	if !isAddress(v) {
		r.addProblem(section, key, expectedAddress)
	}
	return v
}

func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}

func (r *reader) integer(section, key string, def, low, high int) int {
	if !r.hasKey(section, key) {
		return def
	}
	n, err := strconv.Atoi(r.value(section, key))
	if err != nil || n < low || n > high {
		r.addProblem(section, key, "a number from %d to %d", low, high)
		return def
	}
	return n
}

func (r *reader) boolean(section, key string, def bool) bool {
	if !r.hasKey(section, key) {
		return def
	}
	v := r.value(section, key)
	if v != "true" && v != "false" {
		r.addProblem(section, key, "true or false")
		return def
	}
	return v == "true"
}

func (r *reader) hasKey(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

func (r *reader) duration(section, key string, def, low, high time.Duration) time.Duration {
	if !r.hasKey(section, key) {
		return def
	}
	d, err := time.ParseDuration(r.value(section, key))
	if err != nil || d < low || d > high {
		r.addProblem(section, key, `a duration with a unit from %s to %s, such as "500ms" or "5s"`, low, high)
		return def
	}
	return d
}

func (r *reader) size(section, key string, def, low, high int64) int64 {
	if !r.hasKey(section, key) {
		return def
	}
	n, ok := parseSize(r.value(section, key))
	if !ok || n < low || n > high {
		r.addProblem(section, key, `a size with the unit B, KiB or MiB from %d B to %d MiB, such as "512KiB"`, low, high>>20)
		return def
	}
	return n
}

// parseSize parses a size with a unit. It returns false for any other form and for numbers of more than 40 bits, so
// that the size in bytes fits in 63 bits.
func parseSize(v string) (int64, bool) {
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(v, u.name); ok {
			n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 40)
			return int64(n) * u.bytes, err == nil
		}
	}
	return 0, false
}

// certificate loads the certificate and its key, or returns nil if neither file is set.
func (r *reader) certificate(section, certKey, keyKey string) *tls.Certificate {
	cert, key := r.value(section, certKey), r.value(section, keyKey)
	switch {
	case cert == "" && key == "":
		return nil
	case cert == "":
		r.addProblem(section, certKey, "a certificate file, because %s is set", keyKey)
		return nil
	case key == "":
		r.addProblem(section, keyKey, "a key file, because %s is set", certKey)
		return nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		r.addProblem(section, certKey, "a PEM certificate that matches %s: %v", keyKey, err)
		return nil
	}
	return &pair
}

// members reads the entry VMs of the section [peers], which has lines of the form "vm = address domain region".
func (r *reader) members() []model.Member {
	s, err := r.file.GetSection("peers")
	if err != nil {
		return nil
	}
	var out []model.Member
	for _, k := range s.Keys() {
		f := strings.Fields(k.Value())
		if len(f) != 3 || !isAddress(f[0]) || !namePattern.MatchString(f[1]) || !namePattern.MatchString(f[2]) || !namePattern.MatchString(k.Name()) {
			r.addProblem("peers", k.Name(), `"name = IP:port domain region"`)
			continue
		}
		out = append(out, model.Member{
			VM: model.VMID(k.Name()), Address: f[0],
			Domain: model.FailureDomain(f[1]), Region: model.Region(f[2]),
		})
	}
	return out
}
