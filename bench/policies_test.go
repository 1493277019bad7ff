package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestRunPolicies guards against a simulation that loses jobs and against policies that are missing from the table or
// the CSV file.
func TestRunPolicies(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	path := filepath.Join(t.TempDir(), "out.csv")
	err := RunPolicies(PolicyOptions{Scenarios: []string{"today"}, Seeds: []uint64{1}, OfferedLoads: []float64{0.3}}, &table, path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	g.Expect(lines).To(gomega.HaveLen(1 + len(policies)))
	for _, p := range policies {
		g.Expect(table.String()).To(gomega.ContainSubstring(p.name))
	}
	for _, l := range lines[1:] {
		f := strings.Split(l, ",")
		g.Expect(f[len(f)-2]).To(gomega.Equal("0.000"), "unfinished jobs: %s", l)
	}
	g.Expect(RunPolicies(PolicyOptions{Scenarios: []string{"none"}}, &table, "")).To(gomega.HaveOccurred())
}

// TestRunRounds guards against a planner whose rounds do not end with 1,200 workers.
func TestRunRounds(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	g.Expect(RunPlannerRounds(&table, 2)).To(gomega.Succeed())
	g.Expect(strings.Count(table.String(), "\n")).To(gomega.Equal(1 + 2*7))
}
