package routing

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/decisions/route"
)

// TestSimulation guards against simulations that lose requests or intents, against results that differ between runs
// with the same seed, and against a group commit that does not reduce the number of appends.
func TestSimulation(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, s := range scenarios {
		for _, p := range policies {
			first := measurePolicy(s, p.newPolicy, 0.5, 500)
			g.Expect(reflect.DeepEqual(first, measurePolicy(s, p.newPolicy, 0.5, 500))).To(gomega.BeTrue(), "%s, %s", s.name, p.name)
			sim := newSimulation(s, p.newPolicy, 1)
			sim.simulate(500, 0.5)
			g.Expect(len(sim.latencies)+sim.unanswered).To(gomega.Equal(500), "%s, %s", s.name, p.name)
		}
	}
	single, batched := simulateGroupCommit(500, 1000, 1e8, 1, 1), simulateGroupCommit(500, 1000, 1e8, intentsPerRun, 1)
	g.Expect(single.latencies).To(gomega.HaveLen(500))
	g.Expect(batched.latencies).To(gomega.HaveLen(500))
	g.Expect(batched.appends).To(gomega.BeNumerically("<", single.appends))
}

// TestTwoChoices guards against a random selection that ignores the load of the candidates.
func TestTwoChoices(t *testing.T) {
	sim := newSimulation(scenarios[0], policies[2].newPolicy, 1)
	sim.simulate(2000, 0.5)
	free := []route.Candidate{{ID: "a", InFlight: 7}, {ID: "b"}}
	chosen, policy := map[string]int{}, route.TwoChoices(sim.random)
	for range 100 {
		chosen[string(policy(free))]++
	}
	if chosen["b"] <= chosen["a"] {
		t.Fatalf("chose %v", chosen)
	}
}

// TestCSV guards against rows that are missing from the CSV file and against a failed write that returns no error.
func TestCSV(t *testing.T) {
	g, path := gomega.NewWithT(t), filepath.Join(t.TempDir(), "out.csv")
	g.Expect(writeCSV(path, [][]string{{"a", "b"}, {"1", "2"}})).To(gomega.Succeed())
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Fields(string(text))).To(gomega.Equal([]string{"a,b", "1,2"}))
	g.Expect(writeCSV(filepath.Join(path, "x"), nil)).NotTo(gomega.Succeed())
	g.Expect(bytes.Contains(text, []byte("a"))).To(gomega.BeTrue())
}
