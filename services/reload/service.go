// Package reload is the service that reloads the settings file of its process, on SIGHUP and when the file has changed,
// and publishes the settings that can change while the process runs.
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

// pollInterval is the interval at which the file is checked, because the platform may change it without sending SIGHUP.
const pollInterval = 2 * time.Second

// Loader reads and validates the settings file. restartNeeded is set if the file differs from the settings at the start
// of the process in settings that m does not contain.
type Loader func() (m message.SettingsChanged, restartNeeded bool, err error)

// settingsRead is the result of reloading the file.
type settingsRead struct {
	settings      message.SettingsChanged
	restartNeeded bool
	err           error
	// bySignal is set if SIGHUP caused the reload.
	bySignal bool
}

// Kind implements kernel.Message.
func (settingsRead) Kind() string { return "reload_changed" }

// Service owns the settings file.
type Service struct {
	vm, path string
	load     Loader
	hup      <-chan os.Signal
	metrics  *metrics.Set
}

// New returns the service that reloads the file at path; hup receives SIGHUP.
func New(vm, path string, load Loader, hup <-chan os.Signal, m *metrics.Set) *Service {
	return &Service{vm: vm, path: path, load: load, hup: hup, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Reload, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	post := c.TaskSender()
	path, load := s.path, s.load
	hup := s.hup
	c.Spawn(func(ctx context.Context) kernel.Message {
		watchFile(ctx, path, hup, func(bySignal bool) bool {
			m, restartNeeded, err := load()
			return post(settingsRead{m, restartNeeded, err, bySignal})
		})
		return nil
	})
	return nil
}

// watchFile calls reload on each signal and after each change of the file, until ctx is done or reload returns false.
func watchFile(ctx context.Context, path string, hup <-chan os.Signal, reload func(bySignal bool) bool) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	last := statVersion(path)
	for {
		bySignal := false
		select {
		case <-hup:
			bySignal = true
		case <-t.C:
		case <-ctx.Done():
			return
		}
		current := statVersion(path)
		if !bySignal && current == last {
			continue
		}
		last = current
		if !reload(bySignal) {
			return
		}
	}
}

// fileVersion identifies the content of a file by its modification time and size.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// statVersion returns the version of a file, or the zero version if stat fails, such as for a missing file.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. It does not recover the watch of the file.
func (s *Service) Recover(_ *kernel.Context, p *kernel.PanicError) bool { return !p.Task }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	m, ok := e.Body.(settingsRead)
	if !ok {
		return
	}
	if m.err != nil {
		s.metrics.CountEvent("settings_invalid", 1)
		klog.ErrorS(m.err, "settings file is invalid; keeping the current settings", "vm", s.vm, "service", names.Reload, "signal", m.bySignal)
		return
	}
	s.metrics.CountEvent("settings_read", 1)
	klog.InfoS("settings reloaded", "vm", s.vm, "service", names.Reload, "signal", m.bySignal, "peers", m.settings.Peers, "restart_needed", m.restartNeeded)
	c.Publish(m.settings)
}
