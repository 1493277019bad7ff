package relay

import (
	"fmt"
	"net"
	"time"
)

const (
	// maxMessageBytes is the largest message of another VM. The largest one carries a job, whose submission had at most 512 KiB.
	maxMessageBytes = 2 << 20
	// messageTime bounds the arrival of the first message of a connection and of the rest of a message that has begun, and the
	// taking of an answer. Between messages a connection may be idle, because another VM keeps it for later calls.
	messageTime = 10 * time.Second
	// maxConnections bounds the connections of other VMs. Each VM has one to the holder; the design is for 1,200.
	maxConnections = 1536
)

// MessageSizeError reports a message over maxMessageBytes.
type MessageSizeError struct{ Bytes uint64 }

func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("a message of %d bytes exceeds the limit of %d", e.Bytes, maxMessageBytes)
}

// limitedConn bounds the size of the gob messages of a connection and the time of each. gob reserves memory for the length
// that a message announces, so that the length is checked before gob sees it.
type limitedConn struct {
	net.Conn
	// rest is the number of bytes of the present message that have not arrived, or 0 at the beginning of a message.
	rest uint64
	// lengthBytes is the number of bytes of the length that have not arrived, length what the others say.
	lengthBytes int
	length      uint64
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if sizeErr := c.follow(p[:n]); sizeErr != nil {
		return 0, sizeErr
	}
	deadline := time.Time{}
	if c.rest > 0 || c.lengthBytes > 0 {
		deadline = time.Now().Add(messageTime)
	}
	// An error means that the connection has ended, which the next read reports.
	_ = c.Conn.SetReadDeadline(deadline)
	return n, err
}

// follow follows the messages in the bytes that have arrived. Each begins with its length: one byte below 128, or the negated
// number of the bytes of the length and these, the highest first.
func (c *limitedConn) follow(p []byte) error {
	for len(p) > 0 {
		switch {
		case c.rest > 0:
			n := min(c.rest, uint64(len(p)))
			c.rest -= n
			p = p[n:]
			continue
		case c.lengthBytes > 0:
			c.length = c.length<<8 | uint64(p[0])
			c.lengthBytes--
		case p[0] < 0x80:
			c.length = uint64(p[0])
		default:
			c.length, c.lengthBytes = 0, -int(int8(p[0]))
			if c.lengthBytes > 8 {
				return &MessageSizeError{Bytes: 1 << 63}
			}
		}
		p = p[1:]
		if c.lengthBytes > 0 {
			continue
		}
		if c.length > maxMessageBytes {
			return &MessageSizeError{Bytes: c.length}
		}
		c.rest = c.length
	}
	return nil
}
