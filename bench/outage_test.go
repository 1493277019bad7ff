package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRunOutage guards against tasks that start during a store outage and against jobs that never end after one.
func TestRunOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	g.Expect(runOutages(&table, "", scenarios[:1], []float64{0.3}, []uint64{1})).To(gomega.Succeed())
	withoutOutage, withOutage := runOutage(scenarios[0], 0.3, 0, 1), runOutage(scenarios[0], 0.3, time.Hour, 1)
	unfinished := len(withoutOutage) - 1
	g.Expect(withoutOutage[unfinished] + withOutage[unfinished]).To(gomega.BeZero())
	g.Expect(withOutage[4]).To(gomega.Equal(withoutOutage[4]), "affected jobs")
	g.Expect(withOutage[2]).To(gomega.BeNumerically(">", withoutOutage[2]), "mean completion of affected jobs")
}
