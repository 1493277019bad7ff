package config

import (
	"cmp"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// ValidFor is the time for which a confirmed document permits new tasks to start. After it the operators may have taken
// the failure domain out of service without the knowledge of the VM.
const ValidFor = 2 * time.Second

// View is the document that a VM applies, and the time of its last confirmation.
type View struct {
	Doc model.Config
	// Confirmed is the latest local time at which Doc is known to have been the current document.
	Confirmed time.Time
}

// Newer reports whether a replaces b. The higher version is newer. Two documents can have the same version only if the
// store has lost an accepted write; the write identifier is the tie-breaker, so that all VMs choose the same one.
func Newer(a, b model.Config) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.WriteID, b.WriteID)) > 0
}

// Learn returns the view after the VM has learned that doc was the current document at a local time. A document that is
// older than the applied one comes from a source that lags behind: it is not applied and confirms nothing.
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

// MayStart reports whether a new task may start in a failure domain: the document must be fresh, and the failure domain
// must not be out of service.
func (v View) MayStart(d model.FailureDomain, now time.Time) bool {
	return v.Fresh(now) && !v.Doc.IsOut(d)
}

// Age returns the time since the last confirmation.
func (v View) Age(now time.Time) time.Duration { return max(0, now.Sub(v.Confirmed)) }
