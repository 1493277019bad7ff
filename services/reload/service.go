// Package reload is the service that follows the settings file of its process: it reads it again on SIGHUP and when the
// file has changed, and tells the other services what changes while the process runs.
package reload

import (
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// checkEvery is the time between two looks at the file: the platform may change it without a signal.
const checkEvery = 2 * time.Second

// Loader reads and checks the settings file. restart is set if it differs from the settings of the start in more than what
// the message tells.
type Loader func() (m message.SettingsChanged, restart bool, err error)

// changed is the news that the file was read again.
type changed struct {
	settings message.SettingsChanged
	restart  bool
	err      error
	// signal is set if SIGHUP was the cause.
	signal bool
}

// Kind implements kernel.Message.
func (changed) Kind() string { return "reload_changed" }

// Service owns the settings file.
type Service struct {
	vm, path string
	load     Loader
	hup      <-chan os.Signal
	metrics  *metrics.Set
}

// New returns the service of a file; hup delivers SIGHUP.
func New(vm, path string, load Loader, hup <-chan os.Signal, m *metrics.Set) *Service {
	return &Service{vm: vm, path: path, load: load, hup: hup, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Reload, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	post := c.Post()
	path, load := s.path, s.load
	hup := s.hup
	c.Spawn(func(ctx context.Context) kernel.Message {
		follow(ctx, path, hup, func(bySignal bool) bool {
			m, restart, err := load()
			return post(changed{m, restart, err, bySignal})
		})
		return nil
	})
	return nil
}

// follow calls read on each signal and after each change of the file, until ctx ends or read returns false.
func follow(ctx context.Context, path string, hup <-chan os.Signal, read func(bySignal bool) bool) {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	seen := stamp(path)
	for {
		bySignal := false
		select {
		case <-hup:
			bySignal = true
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := stamp(path)
		if !bySignal && now == seen {
			continue
		}
		seen = now
		if !read(bySignal) {
			return
		}
	}
}

// version tells two states of a file apart.
type version struct {
	changedAt time.Time
	size      int64
}

// stamp returns the state of a file; that of a missing file is empty.
func stamp(path string) version {
	info, err := os.Stat(path)
	if err != nil {
		return version{}
	}
	return version{info.ModTime(), info.Size()}
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	m, ok := e.Body.(changed)
	if !ok {
		return
	}
	if m.err != nil {
		s.metrics.CountEvent("settings_invalid", 1)
		klog.ErrorS(m.err, "settings file is invalid; the settings in force stay", "vm", s.vm, "service", names.Reload, "signal", m.signal)
		return
	}
	s.metrics.CountEvent("settings_read", 1)
	klog.InfoS("settings read again", "vm", s.vm, "service", names.Reload, "signal", m.signal, "peers", m.settings.Peers, "restart_needed", m.restart)
	c.Publish(m.settings)
}
