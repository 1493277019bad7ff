package admin

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// smallBuffers is a listener whose connections take few bytes that the peer has not read.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return conn, err
}

// fakeAdmission gives every connection a place and memory.
type fakeAdmission struct{}

func (fakeAdmission) Start(*kernel.Context) error                 { return nil }
func (fakeAdmission) Handle(_ *kernel.Context, e kernel.Envelope) { e.Reply(message.Done{}) }
func (fakeAdmission) Drain(c *kernel.Context)                     { c.CompleteDrain() }

// TestClientReadsNoMetrics guards against connections that stay for ever because a client reads no response.
func TestClientReadsNoMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k, err := kernel.New(nil, New(smallBuffers{l}, metrics.New()).Spec(), kernel.Spec{Name: names.Admission, Service: fakeAdmission{}})
	if err != nil {
		t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop(nil) })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	// The requests fit into the buffers of the connection, their responses do not.
	const requests = 100
	if _, err := conn.Write([]byte(strings.Repeat("GET /debug/vars HTTP/1.1\r\nHost: vm\r\n\r\n", requests))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(answerTime + time.Second)
	read := 0
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	for buf := make([]byte, 64<<10); ; {
		n, err := conn.Read(buf)
		read += n
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("the connection is still open")
		}
		if err != nil {
			break
		}
	}
	if responses := read / 1000; responses >= requests {
		t.Errorf("%d bytes read after the time in which the responses were to be taken", read)
	}
}
