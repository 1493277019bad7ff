package message

import "time"

// StoreGet reads a key; answered by StoreEntry.
type StoreGet struct{ Key string }

// StorePut writes a key whose version is Expect; answered by StoreEntry, or failed with the error of the
// store client.
type StorePut struct {
	Key    string
	Value  []byte
	Expect uint64
	// Lease is the store lease that the key is bound to; 0 means that the key does not expire.
	Lease uint64
}

// StoreDelete removes a key whose version is Expect; answered by Done.
type StoreDelete struct {
	Key    string
	Expect uint64
}

// StoreWatch waits for a version of a key other than After; answered by StoreEntry, with Unchanged set if no other
// version appears within Wait.
type StoreWatch struct {
	Key   string
	After uint64
	Wait  time.Duration
}

// StoreGrant asks for a lease; answered by StoreLease.
type StoreGrant struct{ TTL time.Duration }

// StoreKeepAlive renews a lease; answered by Done.
type StoreKeepAlive struct{ Lease uint64 }

// StoreRevoke ends a lease; answered by Done.
type StoreRevoke struct{ Lease uint64 }

// StoreEntry is a key with its value; version 0 means absent.
type StoreEntry struct {
	Key     string
	Value   []byte
	Version uint64
	// Unchanged is set in the reply to a watch that saw no change; Value is then absent.
	Unchanged bool
}

// StoreLease is a granted lease.
type StoreLease struct{ Lease uint64 }

// Kind implements kernel.Message.
func (StoreGet) Kind() string { return "store_get" }

// Kind implements kernel.Message.
func (StorePut) Kind() string { return "store_put" }

// Kind implements kernel.Message.
func (StoreDelete) Kind() string { return "store_delete" }

// Kind implements kernel.Message.
func (StoreWatch) Kind() string { return "store_watch" }

// Kind implements kernel.Message.
func (StoreGrant) Kind() string { return "store_grant" }

// Kind implements kernel.Message.
func (StoreKeepAlive) Kind() string { return "store_keepalive" }

// Kind implements kernel.Message.
func (StoreRevoke) Kind() string { return "store_revoke" }

// Kind implements kernel.Message.
func (StoreEntry) Kind() string { return "store_entry" }

// Kind implements kernel.Message.
func (StoreLease) Kind() string { return "store_lease" }
