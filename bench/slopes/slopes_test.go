package slopes

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestFit guards against extrapolation from a wrong fit.
func TestFit(t *testing.T) {
	g := gomega.NewWithT(t)
	l := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	g.Expect(l.Slope).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(l.At(10)).To(gomega.BeNumerically("~", 23, 1e-9))
	g.Expect(Fit([]float64{3, 3}, []float64{1, 5})).To(gomega.Equal(Line{Intercept: 3}))
}

// TestMedian guards against a result that is determined by a single outlier run.
func TestMedian(t *testing.T) {
	var runs []Table
	for _, v := range []float64{3, 100, 5} {
		runs = append(runs, Table{Columns: []string{"x", "y"}, KeyColumns: 1, Rows: [][]float64{{1, v}}})
	}
	gomega.NewWithT(t).Expect(median(runs).Rows).To(gomega.Equal([][]float64{{1, 5}}))
}

// TestQuantile guards against a 99th percentile that omits the largest of a few values.
func TestQuantile(t *testing.T) {
	g := gomega.NewWithT(t)
	values := []float64{1, 2, 3, 4}
	g.Expect(quantile(values, 0.5)).To(gomega.Equal(3.0))
	g.Expect(quantile(values, 0.99)).To(gomega.Equal(4.0))
}

// TestRun guards against a part that does not complete, measures nothing or is missing from the CSV file.
func TestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	path := filepath.Join(t.TempDir(), "out.csv")
	g.Expect(Run(context.Background(), Options{
		Parts: []string{"holder", "appends", "recovery", "memory", "gangs"}, Window: 100 * time.Millisecond,
		WorkerCounts: []int{2}, TasksPerWorker: []int{0, 9}, AppendRates: []int{20}, JobCounts: []int{3}, RecoveryWorkerCounts: []int{2},
		GangSizes: []int{2}, UrgentWorkerCount: 2,
	}, &table, path)).To(gomega.Succeed())
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, line := range []string{"appends,1,records_per_s=20 ,records_done_per_s,", "holder,1,workers=2 tasks_per_worker=9 ,heap_kb,", "recovery,1,jobs=3 workers=2 ,store_reads,", "memory,1,waiting_jobs=3 ,heap_kb,", "gang starts,1,tasks=2 ,commands,"} {
		g.Expect(string(content)).To(gomega.ContainSubstring(line))
		g.Expect(string(content)).NotTo(gomega.ContainSubstring(line + "0\n"))
	}
	g.Expect(strings.Count(table.String(), "workers = ")).To(gomega.BeZero(), "a line needs two sizes")
	g.Expect(Run(context.Background(), Options{Parts: []string{"none"}}, io.Discard, "")).To(gomega.MatchError(&UnknownPartError{"none"}))
}
