package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// fakeHolder answers state queries. While block is open, it handles nothing.
type fakeHolder struct{ block chan struct{} }

func (fakeHolder) Start(*kernel.Context) error { return nil }
func (h fakeHolder) Handle(_ *kernel.Context, e kernel.Envelope) {
	<-h.block
	e.Reply(message.StateReply{State: workload.StateRunning})
}
func (fakeHolder) Drain(c *kernel.Context) { c.CompleteDrain() }

// pipeListener accepts one end of each pipe that it is sent. A pipe has no buffer.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
}

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l pipeListener) Close() error { close(l.ended); return nil }

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// startVM starts a VM with a relay and a holder whose mailbox has space for one message.
func startVM(t *testing.T, block chan struct{}) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startVMOn(t, l, block)
	return l.Addr().String()
}

func startVMOn(t *testing.T, l net.Listener, block chan struct{}) {
	t.Helper()
	k, err := kernel.New(nil, New(l, maxConnections, metrics.New()).Spec(), kernel.Spec{Name: names.Holder, Service: fakeHolder{block}, MailboxSize: 1})
	if err != nil {
		t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(nil); err != nil {
			t.Errorf("the kernel ended with %v", err)
		}
	})
}

func call(t *testing.T, address string, p Parcel) Receipt {
	t.Helper()
	client, err := rpc.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var r Receipt
	if err := client.Call(rpcMethod, p, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestPeerReadsNoAnswers guards against calls that pile up in a VM because another one sends calls and reads no answer,
// as a stopped process does.
func TestPeerReadsNoAnswers(t *testing.T) {
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	startVMOn(t, l, closedChannel())
	conn, remote := net.Pipe()
	defer conn.Close()
	l.conns <- remote
	// The limit only ends a test that hangs.
	_ = conn.SetDeadline(time.Now().Add(10 * writeTimeout))
	for e := gob.NewEncoder(conn); ; time.Sleep(10 * time.Millisecond) {
		err := errors.Join(e.Encode(rpc.Request{ServiceMethod: rpcMethod, Seq: 1}), e.Encode(query))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the connection is open after %v", 10*writeTimeout)
		}
		if err != nil {
			return
		}
	}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

var query = Parcel{To: names.Holder, Body: message.StateQuery{ID: "j"}}

// TestOverloadedService guards against a refused message that is reported with an unknown outcome: the caller would have
// to tell its client that the job may run.
func TestOverloadedService(t *testing.T) {
	block := make(chan struct{})
	address := startVM(t, block)
	defer close(block)
	// The service holds one message and its mailbox another one; at least one of the next calls is refused.
	var refused *failure.Error
	for i := 0; refused == nil && i < 4; i++ {
		client, err := rpc.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		r := new(Receipt)
		select {
		case done := <-client.Go(rpcMethod, query, r, nil).Done:
			if done.Error != nil {
				t.Fatal(done.Error)
			}
			refused = r.Failure
		case <-time.After(200 * time.Millisecond):
		}
	}
	if refused == nil || refused.Reason != failure.Overloaded || refused.Outcome != failure.NotRun {
		t.Errorf("%+v, want an overloaded service that did not process the message", refused)
	}
}

// TestUnexpectedMessages guards against a VM that ends, or waits for a reply that never comes, because another process
// sent a message without a body, to an unknown service or of a kind that is not for other VMs.
func TestUnexpectedMessages(t *testing.T) {
	address := startVM(t, closedChannel())
	for _, p := range []Parcel{
		{},
		{To: names.Holder},
		{To: "none", Body: query.Body},
		{To: names.Relay, Body: query.Body},
		{To: names.Holder, Body: message.Heartbeat{}},
		{To: names.Holder, Body: message.AcceptJob{}},
	} {
		if r := call(t, address, p); r.Failure == nil || r.Failure.Reason != failure.Malformed || r.Failure.Outcome != failure.NotRun {
			t.Errorf("%+v: %+v, want a refusal as malformed", p, r)
		}
	}
	if r := call(t, address, query); r.Failure != nil {
		t.Errorf("%+v after the unexpected messages", r.Failure)
	}
}

// TestMalformedBytes guards against a VM that ends because of bytes on the relay's port that are not a call: random ones
// and a call of which some bytes are changed.
func TestMalformedBytes(t *testing.T) {
	address := startVM(t, closedChannel())
	var sound bytes.Buffer
	e := gob.NewEncoder(&sound)
	if err := e.Encode(rpc.Request{ServiceMethod: rpcMethod, Seq: 1}); err != nil {
		t.Fatal(err)
	}
	if err := e.Encode(query); err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	send := func(b []byte) {
		d := net.Dialer{Timeout: 10 * time.Second}
		conn, err := d.DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = conn.Write(b)
		// The VM reads the rest of a message that seems to be longer until the connection ends.
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conn.Read(make([]byte, 1024))
	}
	for range 300 {
		b := bytes.Clone(sound.Bytes())
		for range 1 + random.IntN(4) {
			b[random.IntN(len(b))] = byte(random.Uint32())
		}
		send(b)
	}
	for range 50 {
		b := make([]byte, random.IntN(200))
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		send(b)
	}
	if r := call(t, address, query); r.Failure != nil {
		t.Errorf("%+v after the malformed bytes", r.Failure)
	}
}

// pipeConn is a connection whose bytes a test writes.
type pipeConn struct {
	net.Conn
	in *bytes.Reader
}

func (c *pipeConn) Read(p []byte) (int, error)    { return c.in.Read(p[:min(len(p), 7)]) }
func (*pipeConn) SetReadDeadline(time.Time) error { return nil }

// TestMessageSize guards against a message whose announced length makes gob reserve memory for it, and against sound messages
// that are refused because they arrive in pieces.
func TestMessageSize(t *testing.T) {
	var sound bytes.Buffer
	e := gob.NewEncoder(&sound)
	text := string(bytes.Repeat([]byte("x"), 300000))
	for _, v := range []string{"", "a", text, text} {
		if err := e.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	d := gob.NewDecoder(&limitedConn{Conn: &pipeConn{in: bytes.NewReader(sound.Bytes())}})
	for _, want := range []string{"", "a", text, text} {
		var got string
		if err := d.Decode(&got); err != nil || got != want {
			t.Fatalf("%d bytes, %v, want %d", len(got), err, len(want))
		}
	}
	for _, length := range [][]byte{{0xfc, 0x00, 0x98, 0x96, 0x80}, {0xf8, 1, 0, 0, 0, 0, 0, 0, 0}, {0x80}} {
		var size *MessageSizeError
		err := (&limitedConn{}).follow(length)
		if !errors.As(err, &size) {
			t.Errorf("% x: %v, want a *MessageSizeError", length, err)
		}
	}
}

// failingListener fails its first accepts for a lack of descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptFails guards against a VM that accepts no connections of other VMs any more after it was short of descriptors.
func TestAcceptFails(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: inner}
	l.failures.Store(2)
	block := make(chan struct{})
	close(block)
	startVMOn(t, l, block)
	client, err := rpc.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	call := client.Go(rpcMethod, Parcel{To: string(names.Holder), Body: message.StateQuery{ID: "0000000000000001"}}, new(Receipt), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			t.Errorf("the call failed: %v", call.Error)
		}
	case <-time.After(10 * time.Second):
		t.Error("no answer after two accepts have failed")
	}
}
