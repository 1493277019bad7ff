package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const validSettings = `[vm]
id = v1
domain = a
region = r1
[listen]
http = 127.0.0.1:1
peers = 127.0.0.1:2
admin = 127.0.0.1:3
[platform]
store = 127.0.0.1:4
vmlist = 127.0.0.1:5
[peers]
v2 = 127.0.0.1:6 a r1
`

// TestDefaults guards against optional settings without a usable default, or whose given value is ignored.
func TestDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := Load([]byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.MaxBodyBytes).To(gomega.Equal(int64(DefaultMaxBodyBytes)))
	g.Expect(s.Members).To(gomega.HaveLen(1))
	s, err = Load([]byte(validSettings + "[limits]\nmax_body = 2 MiB\n[timing]\ndrain_timeout = 7s\n[log]\nverbosity = 2\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.MaxBodyBytes).To(gomega.Equal(int64(2 << 20)))
	g.Expect(s.DrainTimeout).To(gomega.Equal(7 * time.Second))
	g.Expect(s.Verbosity).To(gomega.Equal(2))
	g.Expect(s.Installation).To(gomega.BeEmpty())
	s, err = Load([]byte(strings.Replace(validSettings, "id = v1", "id = v1\ninstallation = north", 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Installation).To(gomega.Equal("north"))
}

// TestExample guards against example files that the daemon rejects.
func TestExample(t *testing.T) {
	for _, name := range []string{"verbenaflowd", "vm-a2", "vm-a3"} {
		_, err := Load("../../examples/" + name + ".ini")
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), name)
	}
}

// invalidCases are replacements in validSettings that make it invalid, with the section and key that the error must
// name.
var invalidCases = []struct{ name, from, to, section, key string }{
	{"unknown section", "[peers]", "[peer]\n[peers]", "peer", "-"},
	{"missing section", "[platform]\nstore = 127.0.0.1:4\nvmlist = 127.0.0.1:5\n", "", "platform", "-"},
	{"unknown key", "region = r1", "region = r1\nzone = z", "vm", "zone"},
	{"key outside a section", "[vm]", "id = v9\n[vm]", "DEFAULT", "-"},
	{"missing key", "id = v1\n", "", "vm", "id"},
	{"separator in a name", "domain = a\n", "domain = a/b\n", "vm", "domain"},
	{"host name", "store = 127.0.0.1:4", "store = localhost:4", "platform", "store"},
	{"port 0", "store = 127.0.0.1:4", "store = 127.0.0.1:0", "platform", "store"},
	{"equal listeners", "admin = 127.0.0.1:3", "admin = 127.0.0.1:1", "listen", "admin"},
	{"own id", "v2 =", "v1 =", "peers", "v1"},
	{"own address", "v2 = 127.0.0.1:6", "v2 = 127.0.0.1:2", "peers", "v2"},
	{"duplicate peer", "v2 = 127.0.0.1:6 a r1", "v2 = 127.0.0.1:6 a r1\nv2 = 127.0.0.1:6 a r1", "peers", "v2"},
	{"duplicate peer address", "a r1\n", "a r1\nv3 = 127.0.0.1:6 a r1\n", "peers", "v3"},
	{"domain in two regions", "a r1\n", "a r2\n", "peers", "v2"},
	{"short peer", "a r1\n", "a\n", "peers", "v2"},
	{"duration without unit", "[peers]", "[timing]\ndrain_timeout = 30\n[peers]", "timing", "drain_timeout"},
	{"duration out of range", "[peers]", "[timing]\ndrain_timeout = 2h\n[peers]", "timing", "drain_timeout"},
	{"contradictory durations", "[peers]", "[timing]\ndrain_timeout = 2s\n[peers]", "timing", "header_timeout"},
	{"size without unit", "[peers]", "[limits]\nmax_body = 4096\n[peers]", "limits", "max_body"},
	{"size beyond 64 bits", "[peers]", "[limits]\nmax_body = 18446744073709551615MiB\n[peers]", "limits", "max_body"},
	{"number out of range", "[peers]", "[limits]\nexecutor_connections = 61\n[peers]", "limits", "executor_connections"},
	{"empty number", "[peers]", "[log]\nverbosity =\n[peers]", "log", "verbosity"},
	{"key without certificate", "[platform]", "tls_key = k.pem\n[platform]", "listen", "tls_certificate"},
	{"unreadable certificate", "[platform]", "tls_key = k.pem\ntls_certificate = c.pem\n[platform]", "listen", "tls_certificate"},
}

// TestRefusals guards against invalid settings that are accepted, or whose error does not name the section and key.
func TestRefusals(t *testing.T) {
	for _, c := range invalidCases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(validSettings).To(gomega.ContainSubstring(c.from))
			_, err := Load([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			var e *Error
			g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "accepted")
			var named []string
			for _, p := range e.Problems {
				named = append(named, p.Section+" "+p.Key)
			}
			g.Expect(named).To(gomega.ContainElement(c.section + " " + c.key))
		})
	}
}

// TestAllProblemsAtOnce guards against an error that names only the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	_, err := Load([]byte("[vm]\nid = v1\ndomain = a\nsize = 3\n[listen]\nhttp = x\n"))
	for _, want := range []string{"[vm] size", "[vm] region", "[listen] http", "[listen] admin", "[platform] -", "[peers] -"} {
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}

// FuzzLoad guards against input that crashes the parser or exhausts its memory, and against accepted settings that
// violate an invariant of the services.
func FuzzLoad(f *testing.F) {
	example, err := os.ReadFile("../../examples/verbenaflowd.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(validSettings))
	for _, c := range invalidCases {
		f.Add([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Load(data)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || len(e.Problems) == 0 {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		seen := map[string]bool{s.HTTP: true, s.Peers: true, s.Admin: true}
		if len(seen) != 3 || s.VM == "" || s.Domain == "" || s.MaxBodyBytes < minBody || s.DrainTimeout <= s.HeaderTimeout {
			t.Fatalf("accepted invalid settings: %+v", s)
		}
		for _, m := range s.Members {
			if m.VM == s.VM || seen[m.Address] {
				t.Fatalf("accepted invalid peer: %+v", m)
			}
			seen[m.Address] = true
		}
	})
}
