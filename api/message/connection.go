package message

import "time"

// Connection is a client connection as far as the service admission decides about it. Its methods are safe for concurrent use.
type Connection interface {
	// Progress returns what the connection does: idle ones wait for a request, busy ones for this VM. since is when it last
	// made progress.
	Progress() (idle, busy bool, since time.Time)
	// Evict ends the connection, a busy one once it has sent its answer. It does not block.
	Evict()
}

// ConnectionID identifies a client connection of this process.
type ConnectionID uint64

type (
	// ConnectionOpened asks for a place for a new connection of a listener. The reply is Done or a failure.
	ConnectionOpened struct {
		Listener   string
		ID         ConnectionID
		Connection Connection
	}
	// MemoryNeeded asks for memory for a request. The reply is Done or a failure.
	MemoryNeeded struct {
		Listener string
		ID       ConnectionID
		Bytes    int64
	}
	// MemoryReleased gives memory back, or ends the wait for it if Bytes is 0.
	MemoryReleased struct {
		Listener string
		ID       ConnectionID
		Bytes    int64
	}
	// ConnectionClosed gives everything back that a connection has.
	ConnectionClosed struct {
		Listener string
		ID       ConnectionID
	}
)

// Kind implements kernel.Message.
func (ConnectionOpened) Kind() string { return "connection_opened" }

// Kind implements kernel.Message.
func (MemoryNeeded) Kind() string { return "memory_needed" }

// Kind implements kernel.Message.
func (MemoryReleased) Kind() string { return "memory_released" }

// Kind implements kernel.Message.
func (ConnectionClosed) Kind() string { return "connection_closed" }
