package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"log"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
)

// TestLinesAreComplete guards against log lines that are not JSON or do not contain their VM and service exactly once.
func TestLinesAreComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(Setup(&out, "v1", "daemon", 1)).To(gomega.Succeed())
	defer klog.ClearLogger()
	defer log.SetOutput(os.Stderr)
	klog.InfoS("started", "address", "127.0.0.1:1")
	klog.ErrorS(errors.New("refused"), "failed", "vm", "v2", "service", "store")
	klog.V(1).InfoS("detail", "service", "http")
	klog.V(2).InfoS("hidden")
	klog.LoggerWithValues(klog.Background(), "vm", "v3").Info("contextual")
	log.Print("from a library")
	var got [][2]any
	for line := range bytes.Lines(out.Bytes()) {
		g.Expect(bytes.Count(line, []byte(`"vm":`))).To(gomega.Equal(1), "%s", line)
		var fields map[string]any
		g.Expect(json.Unmarshal(line, &fields)).To(gomega.Succeed())
		got = append(got, [2]any{fields["vm"], fields["service"]})
	}
	g.Expect(got).To(gomega.Equal([][2]any{{"v1", "daemon"}, {"v2", "store"}, {"v1", "http"}, {"v3", "daemon"}, {"v1", "daemon"}}))
}
