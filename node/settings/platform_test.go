package settings

import (
	"errors"
	"os"
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

const validPlatformSettings = `[vm]
id = v1
domain = a
region = r1
[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:2
relay = 127.0.0.1:3
admin = 127.0.0.1:4
[platform]
store = 127.0.0.1:5
[executor]
lease = 5s
`

// TestLearnRunTimes guards against a switch that is on by default, that is ignored, or whose misspelt value turns it off
// without a word.
func TestLearnRunTimes(t *testing.T) {
	for _, c := range []struct {
		section string
		on, bad bool
	}{
		{section: ""},
		{section: "[scheduling]\n"},
		{section: "[scheduling]\nlearn_run_times = false\n"},
		{section: "[scheduling]\nlearn_run_times = true\n", on: true},
		{section: "[scheduling]\nlearn_run_times = yes\n", bad: true},
		{section: "[scheduling]\nlearn_run_times =\n", bad: true},
	} {
		g := gomega.NewWithT(t)
		s, err := LoadPlatform([]byte(validPlatformSettings + c.section))
		var e *Error
		g.Expect(errors.As(err, &e)).To(gomega.Equal(c.bad), c.section)
		if c.bad {
			g.Expect(e.Problems[0].Section + " " + e.Problems[0].Key).To(gomega.Equal("scheduling learn_run_times"))
		}
		g.Expect(s.LearnRunTimes).To(gomega.Equal(c.on), c.section)
	}
}

// TestDeployTemplate guards against a template of settings with a section or key that the daemon does not know.
func TestDeployTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/verbenaflowd.ini")
	if err != nil {
		t.Fatal(err)
	}
	_, err = LoadPlatform(template)
	var e *Error
	if errors.As(err, &e) {
		for _, p := range e.Problems {
			// The placeholders are no valid values.
			if !slices.Contains(platformSchema[p.Section], p.Key) {
				t.Errorf("[%s] %s: %+v", p.Section, p.Key, p)
			}
		}
	}
}
