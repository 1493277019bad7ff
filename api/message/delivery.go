package message

import (
	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

// Unreached returns the failure of a message that did not reach the service that keeps its records. Work that the
// caller may have sent before, under the same ticket or key, may have run then, so that its outcome is unknown; the
// caller may send it again elsewhere.
func Unreached(body any, f *failure.Error) *failure.Error {
	if f.Outcome != failure.NotRun || !mayBeRepeated(body) {
		return f
	}
	f = f.WithOutcome(failure.Unknown)
	f.RetryElsewhere = true
	return f
}

// mayBeRepeated reports whether the caller may have sent the same work before.
func mayBeRepeated(body any) bool {
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

// DeliveryFailure returns the failure of a message that was sent to a service: that of the service, or Unreached for
// an error of the kernel.
func DeliveryFailure(body any, err error) *failure.Error {
	var f *failure.Error
	if errors.As(err, &f) {
		return f
	}
	return Unreached(body, failure.OfDelivery(err))
}
