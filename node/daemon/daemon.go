// Package daemon assembles the services of one entry VM.
package daemon

import (
	"context"
	"net"

	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/admin"
	"github.com/verbenaflow/verbenaflow/services/authority"
	"github.com/verbenaflow/verbenaflow/services/config"
	"github.com/verbenaflow/verbenaflow/services/dispatch"
	"github.com/verbenaflow/verbenaflow/services/executors"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/services/membership"
	"github.com/verbenaflow/verbenaflow/services/peers"
	"github.com/verbenaflow/verbenaflow/services/scheduler"
	"github.com/verbenaflow/verbenaflow/services/store"
	"github.com/verbenaflow/verbenaflow/services/workers"
)

// executorConns is the number of connections that the VM opens to each executor. Together with the
// connections of the other VMs it stays below the 60 that an executor accepts.
const executorConns = 9

// observer counts refused deliveries.
type observer struct{ metrics *metrics.Set }

// Refused implements kernel.Observer.
func (o observer) Refused(to kernel.Name, _ string) { o.metrics.MailboxRefusal(string(to)) }

// listeners are the sockets of one daemon.
type listeners struct{ http, peers, admin net.Listener }

// Run serves until ctx ends and then shuts down gracefully.
func Run(ctx context.Context, s settings.Settings) error {
	l, err := listen(s)
	if err != nil {
		return err
	}
	k, err := assemble(s, l, metrics.New())
	if err != nil {
		l.close()
		return err
	}
	return k.Run(ctx)
}

func listen(s settings.Settings) (listeners, error) {
	var l listeners
	for address, target := range map[string]*net.Listener{s.HTTP: &l.http, s.Peers: &l.peers, s.Admin: &l.admin} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			l.close()
			return listeners{}, err
		}
		*target = socket
	}
	return l, nil
}

func (l listeners) close() {
	for _, socket := range []net.Listener{l.http, l.peers, l.admin} {
		if socket != nil {
			socket.Close()
		}
	}
}

func assemble(s settings.Settings, l listeners, m *metrics.Set) (*kernel.Kernel, error) {
	self := model.Member{VM: s.VM, Domain: s.Domain, Region: s.Region, Address: s.Peers}
	source := string(s.Domain)
	dialWorker := func(a string) worker.Client { return worker.NewHTTPClient(a) }
	dialExecutor := func(a string) executor.Client { return executor.NewHTTPClient(a, executorConns) }
	return kernel.New(observer{m},
		store.New(kv.NewHTTPClient(s.Store, source), m).Spec(),
		config.New(self, s.Members, m).Spec(),
		peers.New(self, s.Members, l.peers, m).Spec(),
		membership.New(self, s.Members, vmlist.NewHTTPClient(s.VMList, source)).Spec(),
		workers.New(s.VM, s.Domain, dialWorker, m).Spec(),
		scheduler.New(s.Domain, m).Spec(),
		executors.New(dialExecutor, m).Spec(),
		dispatch.New(s.Domain, m).Spec(),
		authority.New(s.VM, s.Domain).Spec(),
		httpapi.New(s.Domain, l.http, m).Spec(),
		admin.New(l.admin, m).Spec(),
	)
}
