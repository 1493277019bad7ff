package daemon

import (
	"context"
	"expvar"
	"os"
	"reflect"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/services/admin"
	"github.com/verbenaflow/verbenaflow/services/admission"
	"github.com/verbenaflow/verbenaflow/services/catalog"
	"github.com/verbenaflow/verbenaflow/services/gateway"
	"github.com/verbenaflow/verbenaflow/services/holder"
	"github.com/verbenaflow/verbenaflow/services/intake"
	"github.com/verbenaflow/verbenaflow/services/relay"
	"github.com/verbenaflow/verbenaflow/services/reload"
	"github.com/verbenaflow/verbenaflow/services/upkeep"
)

const (
	// pollWait is the time for which a poll of an executor waits for a run to end. Executors wait for at most 2 s.
	pollWait = 1500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process after the last call.
	exitMargin = 700 * time.Millisecond
)

// RunPlatform serves on the users' platform until ctx is canceled and then shuts down gracefully. path is the settings
// file, which is reloaded when it changes and when hup receives a signal. logLines holds the counters of log lines.
func RunPlatform(ctx context.Context, path string, s settings.Platform, hup <-chan os.Signal, logLines expvar.Var) error {
	limitRuntimeMemory(s.Memory)
	l, err := listenPlatform(s)
	if err != nil {
		return err
	}
	defer l.close()
	o := &observer{vm: s.VM, metrics: metrics.New()}
	o.metrics.Publish(logLinesVar, logLines)
	k, err := kernel.New(o, platformServices(s, l, reload.New(string(s.VM), path, settingsLoader(path, s), hup, o.metrics), o.metrics)...)
	if err != nil {
		return err
	}
	o.info("starting", "domain", s.Domain, "region", s.Region, "front", s.Front, "admin", s.Admin, "store", s.Store, "lease_ms", s.Lease.Milliseconds(), "choose_victims", s.ChooseVictims, "learn_run_times", s.LearnRunTimes)
	began := time.Now()
	if err := k.Run(ctx); err != nil {
		return err
	}
	o.info("stopped", "uptime_ms", time.Since(began).Milliseconds())
	return nil
}

// platformServices returns the services of an entry VM on the users' platform.
func platformServices(s settings.Platform, l platformListeners, r *reload.Service, m *metrics.Set) []kernel.Spec {
	store := metastore.NewClient(s.Store, s.StoreTimeout)
	var advisorClient *advisor.Client
	if s.Advisor != "" {
		advisorClient = advisor.NewClient(s.Advisor)
	}
	descriptors := connectionDescriptors(descriptorLimit(s.Descriptors))
	specs := []kernel.Spec{
		admission.New(admission.Settings{
			VM: string(s.VM), Budgets: clientBudgets(names.Gateway, s.ClientMemory, descriptors),
		}, m).Spec(),
		admin.New(l.admin, m).Spec(),
		r.Spec(),
		catalog.New(string(s.VM), store, m).Spec(),
		relay.New(l.relay, peerConnections(descriptors), m).Spec(),
		holder.New(holder.Settings{
			VM: string(s.VM), Address: s.Relay, Peers: withoutAddress(s.Peers, s.Relay), Weight: s.ProcessorShare,
			CheckpointMemory: s.Memory / checkpointMemoryPart,
			Fleet: fleet.Settings{
				Lease: s.Lease, LongestLease: s.LongestLease, HolderLease: fleet.HolderLease, RenewalGrace: fleet.RenewalGrace, PollWait: pollWait, MaxStopTime: s.MaxStopTime, RemoteSlowdown: s.RemoteSlowdown,
				CheckpointRestoreTime: s.CheckpointRestoreTime, CheckpointInterval: s.CheckpointInterval, Retention: s.Retention,
				ChooseVictims: s.ChooseVictims,
				LearnRunTimes: s.LearnRunTimes,
			},
		}, store, runner.NewClient(s.ExecutorConns), advisorClient, m).Spec(),
		intake.New(intake.Settings{VM: string(s.VM), Peers: withoutAddress(s.Peers, s.Relay), Records: s.Records}, store, m).Spec(),
		gateway.New(gateway.Settings{
			VM: string(s.VM), LameDuck: s.LameDuck, DrainTimeout: s.GracePeriod - s.LameDuck - exitMargin, Limits: s.Limits,
		}, l.front, l.ready, m).Spec(),
	}
	if s.Cloud != "" {
		specs = append(specs, upkeep.New(string(s.VM), cloud.NewClient(s.Cloud), store, s.UpkeepTime, m).Spec())
	}
	return specs
}

// settingsLoader returns the function that reloads the settings file. Only the addresses of other VMs are applied; the
// loader reports whether any other setting differs from the settings at the start.
func settingsLoader(path string, start settings.Platform) reload.Loader {
	return func() (message.SettingsChanged, bool, error) {
		s, err := settings.LoadPlatform(path)
		if err != nil {
			return message.SettingsChanged{}, false, err
		}
		peers := s.Peers
		s.Peers = start.Peers
		return message.SettingsChanged{Peers: withoutAddress(peers, start.Relay)}, !reflect.DeepEqual(s, start), nil
	}
}

// withoutAddress returns the addresses without own, the address of this VM.
func withoutAddress(addresses []string, own string) []string {
	var out []string
	for _, a := range addresses {
		if a != own {
			out = append(out, a)
		}
	}
	return out
}
