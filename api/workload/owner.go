package workload

import (
	"crypto/sha256"
	"encoding/hex"
)

// Owner is whose job a job is.
type Owner struct {
	// Account is empty for a job that was submitted on a public route without a known key.
	Account Account
	Queue   Queue
	// KeyHash is the HashKey of the API key of the submission, or empty if it is not known.
	KeyHash string
}

// Caller is who makes a call about a job.
type Caller struct {
	// Account is the account of the call's API key, or empty.
	Account Account
	KeyHash string
	// PublicQueue is the queue of the call's route if the route is public, or empty.
	PublicQueue Queue
}

// HashKey returns a hash under which records keep an API key, or "" if there is no key.
func HashKey(key string) string {
	if key == "" {
		return ""
	}
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:8])
}

// Owner returns the owner of a job.
func (j *Job) Owner() Owner { return Owner{Account: j.Account, Queue: j.Queue, KeyHash: j.KeyHash} }

// MayAccess reports whether a caller may read, cancel or repeat the submission of an owner's job: a caller with a key of
// the job's account or with the key of its submission, which may have moved to another account, and any caller on the job's
// public route. An account or a public route that the configuration does not hold may have been renamed, or may be newer
// than the configuration of this VM; its jobs are then not withheld.
func (c *Config) MayAccess(caller Caller, o Owner) bool {
	switch {
	case o.Account == "" || caller.Account == o.Account || caller.KeyHash != "" && caller.KeyHash == o.KeyHash:
		return true
	case caller.PublicQueue != "" && (caller.PublicQueue == o.Queue || c.Route(o.Queue) == nil):
		return true
	default:
		return c.Account(o.Account) == nil
	}
}
