package config

import (
	"cmp"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// ValidFor is the time for which a confirmed document permits new tasks. After it the operators may have
// taken the failure domain out without the VM knowing.
const ValidFor = 2 * time.Second

// View is the document that one VM applies.
type View struct {
	Doc model.Config
	// Confirmed is the local time at which Doc was last known to be the current document.
	Confirmed time.Time
}

// Newer reports whether a replaces b. The version decides. Two documents can have the same version only if
// the store lost an accepted write; then all VMs choose the same one by its write identifier.
func Newer(a, b model.Config) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.WriteID, b.WriteID)) > 0
}

// Learn returns the view after the VM learned that doc was current at a local time. A document older than the
// applied one is never applied and confirms nothing, because its source lags behind.
func (v View) Learn(doc model.Config, at time.Time) View {
	if doc.Version == 0 || Newer(v.Doc, doc) {
		return v
	}
	if Newer(doc, v.Doc) {
		return View{Doc: doc, Confirmed: at}
	}
	if at.After(v.Confirmed) {
		v.Confirmed = at
	}
	return v
}

// Fresh reports whether the document was confirmed within ValidFor.
func (v View) Fresh(now time.Time) bool {
	return v.Doc.Version > 0 && now.Sub(v.Confirmed) < ValidFor
}

// MayStart reports whether a new task may start in a failure domain.
func (v View) MayStart(d model.FailureDomain, now time.Time) bool {
	return v.Fresh(now) && !v.Doc.IsOut(d)
}

// Age returns the time since the last confirmation.
func (v View) Age(now time.Time) time.Duration { return max(0, now.Sub(v.Confirmed)) }
