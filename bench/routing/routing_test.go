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

// TestSimulation guards against a simulation that loses requests or gives another result on the next run.
func TestSimulation(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, s := range scenarios {
		for _, p := range policies {
			first := measure(s, p.make, 0.5, 500)
			g.Expect(reflect.DeepEqual(first, measure(s, p.make, 0.5, 500))).To(gomega.BeTrue(), "%s, %s", s.name, p.name)
			m := newSim(s, p.make, 1)
			m.simulate(500, 0.5)
			g.Expect(len(m.took)+m.lost).To(gomega.Equal(500), "%s, %s", s.name, p.name)
		}
	}
	one, all := simulateCommit(500, 1000, 1e8, 1, 1), simulateCommit(500, 1000, 1e8, intents, 1)
	g.Expect(one.took).To(gomega.HaveLen(500))
	g.Expect(all.took).To(gomega.HaveLen(500))
	g.Expect(all.appends).To(gomega.BeNumerically("<", one.appends))
}

// TestTwoChoices guards against a random choice that ignores the load of the candidates.
func TestTwoChoices(t *testing.T) {
	m := newSim(scenarios[0], policies[2].make, 1)
	m.simulate(2000, 0.5)
	free := []route.Candidate{{ID: "a", InFlight: 7}, {ID: "b"}}
	chosen, policy := map[string]int{}, route.TwoChoices(m.random)
	for range 100 {
		chosen[string(policy(free))]++
	}
	if chosen["b"] <= chosen["a"] {
		t.Fatalf("chose %v", chosen)
	}
}

// TestCSV guards against a table whose rows are missing from the CSV file.
func TestCSV(t *testing.T) {
	g, path := gomega.NewWithT(t), filepath.Join(t.TempDir(), "out.csv")
	g.Expect(writeCSV(path, [][]string{{"a", "b"}, {"1", "2"}})).To(gomega.Succeed())
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Fields(string(text))).To(gomega.Equal([]string{"a,b", "1,2"}))
	g.Expect(writeCSV(filepath.Join(path, "x"), nil)).NotTo(gomega.Succeed())
	g.Expect(bytes.Contains(text, []byte("a"))).To(gomega.BeTrue())
}
