package process

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestSettingsRefusals guards against a daemon that starts with invalid settings or reports only the first error.
func TestSettingsRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "daemon.ini")
	text := "[vm]\nid = v1\ndomain = a/b\nregion = r1\n[listen]\nhttp = 127.0.0.1:1\npeers = 127.0.0.1:1\nport = 3\n" +
		"[platform]\nstore = host:4\nvmlist = 127.0.0.1:5\n[peers]\nv1 = 127.0.0.1:6 a r1\n[timing]\ndrain_timeout = 30\n[extra]\n"
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	for _, args := range [][]string{{"--config", file}, {"--config", file, "--check"}} {
		var stderr bytes.Buffer
		cmd := exec.Command(filepath.Join(binaryDir, "verbenaflowd"), args...)
		cmd.Stderr = &stderr
		g.Expect(cmd.Run()).To(gomega.HaveOccurred())
		g.Expect(cmd.ProcessState.ExitCode()).To(gomega.Equal(2))
		for _, want := range []string{
			"[vm] domain: ", "[listen] peers: ", "[listen] port: ", "[listen] admin: ", "[platform] store: ",
			"[peers] v1: ", "[timing] drain_timeout: ", "[extra] -: ",
		} {
			g.Expect(stderr.String()).To(gomega.ContainSubstring(want))
		}
	}
}
