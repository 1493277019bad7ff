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
	// closingMethod marks the last response of a connection. Its sender has answered every call that it has
	// read; the other calls of the connection were not processed.
	closingMethod = "Peer.Closing"
	// lingerTimeout bounds the wait for the caller to close its side. A socket that is closed with unread
	// input resets the connection, which discards answers that are still in the send buffer.
	lingerTimeout = time.Second
)

// closingError is the result of a call that the other VM had not read when it closed the connection.
type closingError struct{}

// Error implements error.
func (closingError) Error() string { return "the connection was closed before the call was read" }

// serverCodec is the gob codec of net/rpc with an orderly close.
type serverCodec struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	// broken is true after a failed write; the connection then ends without the closing response.
	broken bool
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
	if c.broken {
		return net.ErrClosed
	}
	err := write(c.enc, c.buf, r, body)
	if err != nil {
		c.broken = true
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. net/rpc calls it after the answers to all calls that were read.
func (c *serverCodec) Close() error {
	err := c.WriteResponse(&rpc.Response{ServiceMethod: closingMethod}, struct{}{})
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && err == nil && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.conn)
	}
	return c.conn.Close()
}

// clientCodec is the counterpart of serverCodec.
type clientCodec struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	// closing is true once the closing response was read.
	closing atomic.Bool
}

func newClientCodec(conn net.Conn) *clientCodec {
	buf := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := write(c.enc, c.buf, r, body)
	if err != nil && c.closing.Load() {
		return closingError{}
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec. Its error ends all calls that have no answer.
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

// write sends a header and its body.
func write(enc *gob.Encoder, buf *bufio.Writer, header, body any) error {
	if err := enc.Encode(header); err != nil {
		return err
	}
	if err := enc.Encode(body); err != nil {
		return err
	}
	return buf.Flush()
}
