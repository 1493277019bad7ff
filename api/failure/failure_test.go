package failure

import (
	"bytes"
	"encoding/gob"
	"testing"
)

// wireReason is a reason as a VM of another version encodes it.
type wireReason string

// GobEncode implements gob.GobEncoder.
func (r wireReason) GobEncode() ([]byte, error) { return []byte(r), nil }

type wireError struct {
	Reason  wireReason
	Outcome Outcome
}

func roundTrip(t *testing.T, from any) Error {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		t.Fatal(err)
	}
	var e Error
	if err := gob.NewDecoder(&b).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e
}

// TestReasonsTravelByCode guards against a gob encoding of reasons whose meaning depends on the version of the
// VM that sent it, and against an unknown reason that changes the outcome.
func TestReasonsTravelByCode(t *testing.T) {
	for _, r := range Reasons() {
		if got := roundTrip(t, &Error{Reason: r, Outcome: Run}); got.Reason != r || got.Outcome != Run {
			t.Errorf("%s arrived as %s with outcome %s", r, got.Reason, got.Outcome)
		}
		if got := roundTrip(t, wireError{Reason: wireReason(r.Code())}); got.Reason != r {
			t.Errorf("code %s arrived as %s", r.Code(), got.Reason)
		}
	}
	if got := roundTrip(t, wireError{"reason_of_a_later_version", NotRun}); got.Reason != Internal || got.Outcome != NotRun {
		t.Errorf("an unknown code arrived as %s with outcome %s", got.Reason, got.Outcome)
	}
}
