package daemon

import (
	"context"
	"os"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/services/admin"
	"github.com/verbenaflow/verbenaflow/services/catalog"
	"github.com/verbenaflow/verbenaflow/services/gateway"
	"github.com/verbenaflow/verbenaflow/services/holder"
	"github.com/verbenaflow/verbenaflow/services/intake"
	"github.com/verbenaflow/verbenaflow/services/relay"
	"github.com/verbenaflow/verbenaflow/services/reload"
	"github.com/verbenaflow/verbenaflow/services/upkeep"
)

const (
	// lookWait is how long a look at an executor waits for an end; executors wait 2 s at most.
	lookWait = 1500 * time.Millisecond
	// exitReserve is kept of the grace for the end of the process after the last call.
	exitReserve = 700 * time.Millisecond
)

// RunFleet serves on the users' platform until ctx ends and then shuts down gracefully. path is the file of the settings,
// which is read again when it changes and on hup.
func RunFleet(ctx context.Context, path string, s settings.Fleet, hup <-chan os.Signal) error {
	l, err := listenFleet(s)
	if err != nil {
		return err
	}
	defer l.close()
	o := &observer{vm: s.VM, metrics: metrics.New()}
	k, err := assembleFleet(s, l, reload.New(string(s.VM), path, reloader(path, s), hup, o.metrics), o)
	if err != nil {
		return err
	}
	o.info("starting", "domain", s.Domain, "region", s.Region, "front", s.Front, "admin", s.Admin, "store", s.Store, "lease_ms", s.Lease.Milliseconds())
	began := time.Now()
	if err := k.Run(ctx); err != nil {
		return err
	}
	o.info("stopped", "uptime_ms", time.Since(began).Milliseconds())
	klog.Flush()
	return nil
}

func assembleFleet(s settings.Fleet, l fleetListeners, r *reload.Service, o *observer) (*kernel.Kernel, error) {
	m := o.metrics
	store := metastore.NewClient(s.Store, s.StoreTimeout)
	var advice *advisor.Client
	if s.Advisor != "" {
		advice = advisor.NewClient(s.Advisor)
	}
	specs := []kernel.Spec{
		admin.New(l.admin, m).Spec(),
		r.Spec(),
		catalog.New(string(s.VM), store, m).Spec(),
		relay.New(l.relay, m).Spec(),
		holder.New(holder.Settings{
			VM: string(s.VM), Address: s.Relay, Weight: s.ProcessorShare,
			Fleet: fleet.Settings{
				Lease: s.Lease, HolderLease: fleet.HolderLease, RenewalGrace: fleet.RenewalGrace, PollWait: lookWait, MaxStopTime: s.StopBound, RemoteSlowdown: s.SlowFactor,
				CheckpointRestoreTime: s.RestoreTime, CheckpointInterval: s.SaveInterval, Retention: s.Retention,
			},
		}, store, runner.NewClient(s.ExecutorConns), advice, m).Spec(),
		intake.New(intake.Settings{VM: string(s.VM), Peers: others(s.Peers, s.Relay)}, store, m).Spec(),
		gateway.New(gateway.Settings{
			VM: string(s.VM), LameDuck: s.LameDuck, DrainTimeout: s.Grace - s.LameDuck - exitReserve,
		}, l.front, l.ready, m).Spec(),
	}
	if s.Cloud != "" {
		specs = append(specs, upkeep.New(string(s.VM), cloud.NewClient(s.Cloud), store, s.UpkeepTime, m).Spec())
	}
	return kernel.New(o, specs...)
}

// reloader returns how the settings file is read again. All but the addresses of other VMs is that of the start.
func reloader(path string, start settings.Fleet) reload.Loader {
	return func() (message.SettingsChanged, bool, error) {
		s, err := settings.LoadFleet(path)
		if err != nil {
			return message.SettingsChanged{}, false, err
		}
		peers := s.Peers
		s.Peers = start.Peers
		return message.SettingsChanged{Peers: others(peers, start.Relay)}, !reflect.DeepEqual(s, start), nil
	}
}

// others returns the addresses but the own one.
func others(addresses []string, own string) []string {
	var out []string
	for _, a := range addresses {
		if a != own {
			out = append(out, a)
		}
	}
	return out
}
