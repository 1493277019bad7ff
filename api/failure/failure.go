// Package failure defines the typed errors that callers and operators see, and the reasons by which they are counted.
//
// A failure has a stable code, an HTTP status and an outcome: whether the work ran.
package failure

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome is whether the work of a failed call ran.
type Outcome string

// Outcomes of a call.
const (
	// NotRun means that the work did not run and will not run. It is reported only if that is proven.
	NotRun Outcome = "not_run"
	// Run means that the work ran.
	Run Outcome = "run"
	// Unknown means that the work may have run.
	Unknown Outcome = "unknown"
)

// Error is a failure that is reported to a caller or an operator.
type Error struct {
	Reason Reason
	// Outcome overrides the default outcome of the reason if it is not empty.
	Outcome Outcome
	// Detail is a text for this one failure; Error appends it to the code of the reason.
	Detail string
	// RetryElsewhere is set if another entry VM may accept the same call.
	RetryElsewhere bool
}

// New returns a failure with the default outcome of its reason.
func New(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Outcome: r.Outcome(), Detail: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy of the failure with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Reason.Code()
	}
	return e.Reason.Code() + ": " + e.Detail
}

// Is reports whether target is a failure with the same reason.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Reason == e.Reason
}

// From returns the failure in the chain of err, or an internal failure with unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
