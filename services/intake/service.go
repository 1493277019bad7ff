// Package intake is the service that handles client calls: it authenticates them, stores accepted jobs and
// cancellations, and asks the holder for the state of jobs.
package intake

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// Settings configures the service.
type Settings struct {
	VM string
	// Peers lists addresses of other VMs, some of which may be stale.
	Peers []string
	// Records are the limits of each account; the zero value means the default.
	Records recordlimit.Settings
}

// limitedLogInterval is the time between two log lines about accounts that exceed their records.
const limitedLogInterval = 10 * time.Second

// Service handles client calls. It keeps the last published configuration and holder, and opens no connections except
// those of the store client.
type Service struct {
	settings Settings
	store    Store
	metrics  *metrics.Set
	config   *workload.Config
	holder   message.HolderChanged
	// storeReachable is the last published reachability of the store from this VM.
	storeReachable bool
	// undecidedAt is when a transaction last ended without a known outcome.
	undecidedAt time.Time
	// atBacklogLimit holds the accounts that may not submit jobs, because the accepted ones take all the memory for them.
	atBacklogLimit map[workload.Account]bool
	// records bounds what each account adds to the store.
	records *recordlimit.Limiter
	// lookups counts the lookups in progress of submissions that are refused if their job is not stored.
	lookups map[workload.Account]int
	// limited counts the calls refused by records, by account, since limitedLogged, the time of the last log line about them.
	limited       map[workload.Account]int
	limitedLogged time.Time
}

// Store is the part of the store's client that the service uses.
type Store interface {
	Get(ctx context.Context, key string) (metastore.Item, error)
	Commit(ctx context.Context, t metastore.Txn) (revision int64, err error)
}

// New returns the service.
func New(s Settings, store Store, m *metrics.Set) *Service {
	if s.Records == (recordlimit.Settings{}) {
		s.Records = recordlimit.DefaultSettings()
	}
	return &Service{
		settings: s, store: store, metrics: m, storeReachable: true, records: recordlimit.New(s.Records), lookups: map[workload.Account]int{},
		limited: map[workload.Account]int{},
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Intake, Service: s, DependsOn: []kernel.Name{names.Catalog, names.Relay, names.Holder},
		Subscriptions: []string{message.KindCatalogChanged, message.KindHolderChanged, message.KindBacklogChanged, message.KindStoreReachability, message.KindSettingsChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. The service holds no state that a call changes in several steps, except the count of
// lookups, which begins anew; the call that caused the panic fails with an unknown outcome.
func (s *Service) Recover(*kernel.Context, *kernel.PanicError) bool {
	clear(s.lookups)
	return true
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.CatalogChanged:
		s.config = m.Config
		s.forgetAccounts()
	case message.HolderChanged:
		s.holder = m
	case message.BacklogChanged:
		s.atBacklogLimit = map[workload.Account]bool{}
		for _, a := range m.AtLimit {
			s.atBacklogLimit[a] = true
		}
	case message.StoreReachability:
		s.storeReachable = m.Reachable
		if m.Reachable {
			// The store has answered since its transactions went without an answer.
			s.undecidedAt = time.Time{}
		}
	case message.SettingsChanged:
		s.settings.Peers = m.Peers
	case message.SubmitCall:
		s.submit(c, m, e)
	case message.ReadCall:
		s.read(c, m, e)
	case message.CancelCall:
		s.cancel(c, m, e)
	case message.AcceptJob:
		if err := m.Job.Validate(); err != nil {
			s.refuse(e, "submit", m.Job.ID, failure.New(failure.Malformed, "%v", err))
			return
		}
		s.accept(c, m.Job, relayedDeadline(m.Within), e, false)
	case message.AcceptCancel:
		s.storeCancel(c, cancelDone{
			env: e, id: m.ID, caller: workload.Caller{Account: m.Account, KeyHash: m.KeyHash, PublicQueue: m.PublicQueue}, deadline: relayedDeadline(m.Within),
		})
	case storeDone:
		s.handleStoreDone(c, m)
	case cancelDone:
		s.handleCancelDone(c, m)
	case lookupDone:
		s.handleLookupDone(c, m)
	}
}

// forgetAccounts drops the counts of accounts that the configuration does not name any more.
func (s *Service) forgetAccounts() {
	if s.config == nil {
		return
	}
	known := map[workload.Account]bool{}
	for _, a := range s.config.Accounts {
		known[a.Name] = true
	}
	// Calls without a key, of public routes, count as those of an account without a name.
	s.records.Retain(func(a workload.Account) bool { return a == "" || known[a] })
}

// limitRecords counts what a call adds to the store. It returns a failure if that exceeds the limits of the account.
func (s *Service) limitRecords(account workload.Account, k recordlimit.Kind, units int) *failure.Error {
	now := time.Now()
	if s.records.Allow(now, account, k, units) {
		return nil
	}
	s.countLimited(now, account)
	return failure.New(failure.RateLimited, "the account exceeds its records a second, or in ten minutes")
}

// limitBacklog returns a failure if the accepted jobs leave no memory for another one of an account.
func (s *Service) limitBacklog(account workload.Account) *failure.Error {
	if !s.atBacklogLimit[account] {
		return nil
	}
	s.countLimited(time.Now(), account)
	return failure.New(failure.BacklogFull, "the accepted jobs take all the memory for them, and the account has more than its share: wait until some of its jobs have ended, or cancel some")
}

// countLimited counts a refused call and logs bursts of them.
func (s *Service) countLimited(now time.Time, account workload.Account) {
	s.limited[account]++
	if now.Sub(s.limitedLogged) >= limitedLogInterval {
		s.log("calls refused because an account exceeds its records", "calls", s.limited)
		s.limited, s.limitedLogged = map[workload.Account]int{}, now
	}
}

// comesInBursts reports whether a refusal is logged by countLimited only.
func comesInBursts(r failure.Reason) bool {
	return r == failure.RateLimited || r == failure.BacklogFull
}

// admitted is a client call that the configuration permits.
type admitted struct {
	route  *workload.Route
	caller workload.Caller
	// subpath is the part of the path after the route's prefix.
	subpath string
}

// admit finds the route and the account of a call. It returns a failure if the configuration does not permit the call.
func (s *Service) admit(m *message.ClientCall) (admitted, *failure.Error) {
	if s.config == nil {
		return admitted{}, failure.New(failure.ConfigUnavailable, "no configuration yet")
	}
	r := s.config.Match(m.Host, m.Path)
	if r == nil {
		return admitted{}, failure.New(failure.NotFound, "no such queue")
	}
	account, ok := s.config.AccountOf(m.Key)
	if !ok && !r.Public {
		return admitted{}, failure.New(failure.Unauthorized, "unknown key")
	}
	caller := workload.Caller{Account: account, KeyHash: workload.HashKey(m.Key)}
	if r.Public {
		caller.PublicQueue = r.Name
	}
	return admitted{route: r, caller: caller, subpath: strings.TrimPrefix(m.Path, r.Prefix)}, nil
}

// jobID parses the job's identifier from the path.
func (a *admitted) jobID() (workload.JobID, *failure.Error) {
	id, ok := front.ParseJobID(a.subpath)
	if !ok {
		return "", failure.New(failure.NotFound, "no job at this path")
	}
	return id, nil
}

// refuse fails a call, counts the reason and logs it.
func (s *Service) refuse(e kernel.Envelope, call string, id any, f *failure.Error) {
	s.metrics.CountRefusal(f)
	if comesInBursts(f.Reason) {
		e.Fail(f)
		return
	}
	version := int64(0)
	if s.config != nil {
		version = s.config.Version
	}
	klog.InfoS("call refused", "vm", s.settings.VM, "service", names.Intake, "call", call, "job", id, "reason", f.Reason.Code(),
		"detail", f.Detail, "outcome", f.Outcome, "config_version", version, "holder", s.holder.VM, "store_reachable", s.storeReachable)
	e.Fail(f)
}

func (s *Service) log(msg string, keysAndValues ...any) {
	klog.InfoS(msg, append([]any{"vm", s.settings.VM, "service", names.Intake}, keysAndValues...)...)
}
