// Package daemon assembles the services of one entry VM.
package daemon

import (
	"context"
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/platform/listener"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/admin"
	"github.com/verbenaflow/verbenaflow/services/admission"
	"github.com/verbenaflow/verbenaflow/services/authority"
	"github.com/verbenaflow/verbenaflow/services/config"
	"github.com/verbenaflow/verbenaflow/services/dispatch"
	"github.com/verbenaflow/verbenaflow/services/executors"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/services/membership"
	"github.com/verbenaflow/verbenaflow/services/peers"
	"github.com/verbenaflow/verbenaflow/services/routing"
	"github.com/verbenaflow/verbenaflow/services/scheduler"
	"github.com/verbenaflow/verbenaflow/services/store"
	"github.com/verbenaflow/verbenaflow/services/workers"
)

// standaloneClientMemory is the memory in bytes that clients of a daemon outside the users' platform may take. The target size
// gives a node 256 MB for control.
const standaloneClientMemory = 40 << 20

// logLinesVar is the name of the counters of written and lost log lines.
const logLinesVar = "log_lines"

// Run listens on the addresses of the settings, serves until ctx is canceled and then shuts down gracefully. logLines
// holds the counters of log lines.
func Run(ctx context.Context, s settings.Settings, logLines expvar.Var) error {
	l, err := Listen(s)
	if err != nil {
		return err
	}
	m := metrics.New()
	m.Publish(logLinesVar, logLines)
	return serveWith(ctx, s, l, m)
}

// Serve serves on open listeners until ctx is canceled, and closes them. It shuts down gracefully, or without a drain
// if the cause of ctx is a *kernel.AbortError.
func Serve(ctx context.Context, s settings.Settings, l Listeners) error {
	return serveWith(ctx, s, l, metrics.New())
}

func serveWith(ctx context.Context, s settings.Settings, l Listeners, m *metrics.Set) error {
	defer l.Close()
	o := &observer{vm: s.VM, metrics: m}
	k, err := assemble(s, l, o)
	if err != nil {
		return err
	}
	o.info("starting", "domain", s.Domain, "region", s.Region,
		"http", l.HTTP.Addr().String(), "peers", l.Peers.Addr().String(), "admin", l.Admin.Addr().String(), "tls", s.TLS != nil,
		"store", s.Store, "vmlist", s.VMList, "entry_vms", len(s.Members)+1,
		"executor_connections", s.ExecutorConns, "max_body_bytes", s.MaxBodyBytes,
		"header_timeout", s.HeaderTimeout.String(), "drain_timeout", s.DrainTimeout.String(), "verbosity", s.Verbosity)
	began := time.Now()
	if err := k.Run(ctx); err != nil {
		klog.ErrorS(err, "stopped", "vm", s.VM, "service", serviceDaemon)
		return err
	}
	o.info("stopped", "uptime_ms", time.Since(began).Milliseconds())
	return nil
}

// assemble returns a kernel with the services of an entry VM.
func assemble(s settings.Settings, l Listeners, o *observer) (*kernel.Kernel, error) {
	self := model.Member{VM: s.VM, Domain: s.Domain, Region: s.Region, Address: s.Peers}
	source := string(s.Domain)
	m := o.metrics
	dialWorker := func(a string) worker.Client { return worker.NewHTTPClient(a) }
	dialExecutor := func(a string) executor.Client { return executor.NewHTTPClient(a, s.ExecutorConns) }
	httpOptions := httpapi.Options{MaxBodyBytes: s.MaxBodyBytes, HeaderTimeout: s.HeaderTimeout, DrainTimeout: s.DrainTimeout, TLS: s.TLS}
	clientMemory := max(standaloneClientMemory, 2*listener.RequestBytes(s.MaxBodyBytes))
	return kernel.New(o,
		admission.New(admission.Settings{VM: string(s.VM), Budgets: clientBudgets(names.HTTP, clientMemory, descriptorLimit(0))}, m).Spec(),
		// The admin service starts first and drains last, so that health checks and metrics are available throughout.
		admin.New(l.Admin, m).Spec(),
		store.New(kv.NewHTTPClient(s.Store, source), m).Spec(),
		config.New(self, s.Members, m).Spec(),
		peers.New(s.Installation, self, s.Members, l.Peers, m).Spec(),
		membership.New(self, s.Members, vmlist.NewHTTPClient(s.VMList, source)).Spec(),
		workers.New(s.VM, s.Domain, dialWorker, m).Spec(),
		scheduler.New(s.Domain, m).Spec(),
		routing.New(self, m).Spec(),
		executors.New(dialExecutor, m).Spec(),
		dispatch.New(s.Domain, m).Spec(),
		authority.New(s.VM, s.Domain).Spec(),
		httpapi.New(self, l.HTTP, httpOptions, m).Spec(),
	)
}
