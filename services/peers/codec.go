package peers

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	// closingMethod marks the closing response, the last one of a connection. Its sender has answered every call that it
	// has read and has processed no other call of the connection.
	closingMethod = "Peer.Closing"
	// lingerTimeout bounds the wait for the caller to close its side. Closing a socket with unread input resets the
	// connection, which discards responses that are still in the send buffer.
	lingerTimeout = time.Second
)

// closingError is the error of a call that the called VM had not read when it closed the connection.
type closingError struct{}

// Error implements error.
func (closingError) Error() string {
	return "the connection was closed before the call was read"
}

// serverCodec is the gob codec of net/rpc, extended by a closing response.
type serverCodec struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	// writeFailed is set after a failed write. The connection is then closed without the closing response.
	writeFailed bool
}

func newServerCodec(conn net.Conn) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc serializes its calls.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if c.writeFailed {
		return net.ErrClosed
	}
	err := writeMessage(c.enc, c.buf, r, body)
	if err != nil {
		c.writeFailed = true
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. net/rpc calls it after it has answered all calls that it has read.
func (c *serverCodec) Close() error {
	err := c.WriteResponse(&rpc.Response{ServiceMethod: closingMethod}, struct{}{})
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok && err == nil && halfCloser.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.conn)
	}
	return c.conn.Close()
}

// clientCodec is the gob codec of net/rpc that handles the closing response of serverCodec.
type clientCodec struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	// closing is set once the closing response has been read.
	closing atomic.Bool
}

func newClientCodec(conn net.Conn) *clientCodec {
	buf := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := writeMessage(c.enc, c.buf, r, body)
	if err != nil && c.closing.Load() {
		return closingError{}
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec. net/rpc ends all unanswered calls with its error.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	if r.ServiceMethod == closingMethod {
		c.closing.Store(true)
		c.conn.Close()
		return closingError{}
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// writeMessage writes a header with its body and flushes the buffer.
func writeMessage(enc *gob.Encoder, buf *bufio.Writer, header, body any) error {
	if err := enc.Encode(header); err != nil {
		return err
	}
	if err := enc.Encode(body); err != nil {
		return err
	}
	return buf.Flush()
}
