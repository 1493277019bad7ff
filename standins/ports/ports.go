// Package ports hands out loopback addresses to processes that a test starts.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports lie below those that the kernel gives to outgoing connections (from 32768 on): one of these could take a port
// while its daemon is not running.
const (
	firstPort  = 10000
	blockPorts = 500
	blocks     = 44
)

// block is a range of ports that belongs to this process as long as it listens on the first of them, so that test binaries that run
// at the same time do not share ports.
type block struct {
	claim net.Listener
	first int
	next  int
}

// ExhaustedError reports that no port is free.
type ExhaustedError struct{ Ports int }

func (e *ExhaustedError) Error() string { return fmt.Sprintf("none of %d ports is free", e.Ports) }

// current holds the block of this process, nil before its first use. Its capacity is 1, so that it acts as a lock.
var current = func() chan *block {
	c := make(chan *block, 1)
	c <- nil
	return c
}()

// Free returns n loopback addresses ("IP:port") on which nothing listens. An address is handed out again only after all others of the
// block.
func Free(n int) ([]string, error) {
	b := <-current
	defer func() { current <- b }()
	if b == nil {
		var err error
		if b, err = claimBlock(); err != nil {
			return nil, err
		}
	}
	var out []string
	for range blockPorts - 1 {
		if len(out) == n {
			return out, nil
		}
		address := loopback(b.first + 1 + b.next)
		b.next = (b.next + 1) % (blockPorts - 1)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, address)
	}
	if len(out) == n {
		return out, nil
	}
	return nil, &ExhaustedError{Ports: blockPorts - 1}
}

func claimBlock() (*block, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &block{claim: l, first: first}, nil
		}
	}
	return nil, &ExhaustedError{Ports: blocks}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
