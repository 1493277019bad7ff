package message

import (
	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

// UnreachedFailure adjusts the failure of a message that did not reach the service that keeps its records. If the
// caller may have sent the same work before, under the same ticket or key, that earlier attempt may have run: the
// outcome becomes unknown, and the caller may retry at another VM.
func UnreachedFailure(body any, f *failure.Error) *failure.Error {
	if f.Outcome != failure.NotRun || !mayBeRetry(body) {
		return f
	}
	f = f.WithOutcome(failure.Unknown)
	f.RetryElsewhere = true
	return f
}

// mayBeRetry reports whether the caller may have sent the same work before, under the same ticket or key.
func mayBeRetry(body any) bool {
	switch m := body.(type) {
	case RequestSend:
		return !m.Fresh
	case JobSubmit:
		return m.Spec.Key != ""
	case JobRoute:
		return m.Spec.Key != ""
	}
	return false
}

// DeliveryFailure converts the error of a message that was sent to a service: it returns the service's own failure, or
// the result of UnreachedFailure for an error of the kernel.
func DeliveryFailure(body any, err error) *failure.Error {
	var f *failure.Error
	if errors.As(err, &f) {
		return f
	}
	return UnreachedFailure(body, failure.FromDelivery(err))
}
