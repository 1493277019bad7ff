package failure

import (
	"context"

	"github.com/cockroachdb/errors"
)

// FromDelivery converts the error of a message that was sent to a service: it returns the failure in the chain of err,
// or the failure for an error of the kernel. It recognizes kernel errors by their methods, because this package does
// not import the kernel. A refused message was not processed; other errors leave the outcome unknown.
func FromDelivery(err error) *Error {
	var overloaded interface{ Overloaded() bool }
	var stopped interface{ Stopped() bool }
	var unknown interface{ UnknownService() bool }
	switch {
	case errors.As(err, &overloaded):
		return New(Overloaded, "%v", err)
	case errors.As(err, &stopped):
		f := New(Draining, "%v", err)
		f.RetryElsewhere = true
		return f
	case errors.As(err, &unknown):
		return New(Internal, "%v", err).WithOutcome(NotRun)
	case errors.Is(err, context.DeadlineExceeded):
		return New(DeadlineExceeded, "%v", err)
	default:
		return From(err)
	}
}
