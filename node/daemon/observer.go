package daemon

import (
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// serviceDaemon is the value of the key "service" in log lines of the daemon itself.
const serviceDaemon = "daemon"

// observer counts refused messages and logs the start, drain and stop of services.
type observer struct {
	vm      model.VMID
	metrics *metrics.Set
}

var (
	_ kernel.LifecycleObserver = (*observer)(nil)
	_ kernel.PanicObserver     = (*observer)(nil)
)

// MessageRefused implements kernel.Observer.
func (o *observer) MessageRefused(to kernel.Name, _ string) {
	o.metrics.CountMailboxRefusal(string(to))
}

// ServiceStarted implements kernel.LifecycleObserver.
func (o *observer) ServiceStarted(n kernel.Name) {
	klog.InfoS("service started", "vm", o.vm, "service", n)
}

// ServiceDraining implements kernel.LifecycleObserver.
func (o *observer) ServiceDraining(n kernel.Name) {
	klog.InfoS("service draining", "vm", o.vm, "service", n)
}

// ServiceStopped implements kernel.LifecycleObserver.
func (o *observer) ServiceStopped(n kernel.Name, complete bool) {
	if !complete {
		o.metrics.CountEvent("drain_incomplete", 1)
	}
	klog.InfoS("service stopped", "vm", o.vm, "service", n, "drained", complete)
}

// ServiceRecovered implements kernel.PanicObserver.
func (o *observer) ServiceRecovered(p *kernel.PanicError) {
	o.metrics.CountEvent("panics_"+string(p.Name), 1)
	klog.ErrorS(p, "service recovered from a panic", "vm", o.vm, "service", p.Name, "kind", p.Kind, "task", p.Task, "stack", p.Stack)
}

func (o *observer) info(msg string, keysAndValues ...any) {
	klog.InfoS(msg, append([]any{"vm", o.vm, "service", serviceDaemon}, keysAndValues...)...)
}
