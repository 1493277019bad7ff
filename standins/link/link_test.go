package link_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/standins/link"
)

// startLink starts a link to an echo server and returns the addresses of the link and of its control listener.
func startLink(t *testing.T) (address, control string) {
	t.Helper()
	g := gomega.NewWithT(t)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return l
	}
	echo, linkListener, controlListener := listen(), listen(), listen()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				_, _ = io.Copy(c, c)
				c.Close()
			})
		}
	})
	wg.Go(func() { _ = link.Run(ctx, controlListener, link.New(linkListener, echo.Addr().String(), 0)) })
	t.Cleanup(func() {
		cancel()
		echo.Close()
		wg.Wait()
	})
	return linkListener.Addr().String(), controlListener.Addr().String()
}

func setMode(t *testing.T, control string, f link.Faults) {
	t.Helper()
	body, _ := json.Marshal(f)
	resp, err := http.Post("http://"+control+link.PathFaults, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// TestHoldAndRefuse guards against a link that relays data while it holds it back, loses that data when it passes
// again, or keeps connections open while it refuses them.
func TestHoldAndRefuse(t *testing.T) {
	g := gomega.NewWithT(t)
	address, control := startLink(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	buf := make([]byte, 3)
	_, _ = conn.Write([]byte("one"))
	_, err = io.ReadFull(conn, buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf)).To(gomega.Equal("one"))

	setMode(t, control, link.Faults{Mode: link.ModeHold})
	_, _ = conn.Write([]byte("two"))
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = conn.Read(buf)
	g.Expect(err).To(gomega.HaveOccurred(), "a held link relayed bytes")
	_ = conn.SetReadDeadline(time.Time{})
	setMode(t, control, link.Faults{Mode: link.ModePass, DelayMS: 5})
	_, err = io.ReadFull(conn, buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf)).To(gomega.Equal("two"))

	setMode(t, control, link.Faults{Mode: link.ModeRefuse})
	_, err = io.ReadFull(conn, buf)
	g.Expect(err).To(gomega.HaveOccurred(), "a refusing link kept a connection")
}
