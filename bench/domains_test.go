package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/domains"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// TestRunDomains guards against a variant that loses jobs or exceeds the maximum number of transfers of a job, and
// against variants that have no effect on the failure domains of the jobs.
func TestRunDomains(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	path := filepath.Join(t.TempDir(), "out.csv")
	names := []string{"stay", "choice", "choice transfers"}
	o := DomainSelectionOptions{Scenarios: []string{"today-3"}, Variants: names, Seeds: []uint64{1}, OfferedLoads: []float64{0.5}}
	g.Expect(RunDomainSelection(o, &table, path)).To(gomega.Succeed())
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	g.Expect(lines).To(gomega.HaveLen(1 + len(names)))
	value := func(line int, column string) float64 {
		for i, h := range domainHeader {
			if h == column {
				v, err := strconv.ParseFloat(strings.Split(lines[line], ",")[i], 64)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return v
			}
		}
		return -1
	}
	for i := range names {
		g.Expect(value(i+1, "unfinished")).To(gomega.BeZero(), names[i])
		g.Expect(value(i+1, "most_moves")).To(gomega.BeNumerically("<=", domains.DefaultRules().MaxTransfers))
	}
	g.Expect(value(1, "elsewhere_share")).To(gomega.BeZero())
	g.Expect(value(2, "elsewhere_share")).To(gomega.BeNumerically(">", 0))
	g.Expect(value(3, "transfers")).To(gomega.BeNumerically(">", 0))
	g.Expect(RunDomainSelection(DomainSelectionOptions{Variants: []string{"none"}}, &table, "")).To(gomega.HaveOccurred())
}

// TestLoadsAreOld guards against a simulation in which a change of load is visible to other failure domains before it
// has been published and sent with a heartbeat.
func TestLoadsAreOld(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	sim := &simulation{scenario: domainScenarios[0].scenario, now: start, outOfService: make([]bool, 3), gpusInUse: make([]int, 3), workers: make([][]plan.Worker, 3)}
	sim.waiting = []map[model.JobID]*simJob{{}, {}, {}}
	sim.router = newRouter(sim.scenario, 3, domainVariant{})
	sim.router.publishLoads(sim)
	sim.now = start.Add(1100 * time.Millisecond)
	sim.outOfService[0] = true
	sim.router.publishLoads(sim)
	outIsKnown := func(after time.Duration) bool {
		sim.now = start.Add(after)
		load, known := sim.router.publishedLoad(sim, 0)
		return known && load.Out
	}
	// The change at 1.1 s is published at 2 s and sent with the heartbeat at 2 s.
	g.Expect(outIsKnown(1900 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(outIsKnown(2 * time.Second)).To(gomega.BeTrue())
}
