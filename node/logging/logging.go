// Package logging configures klog and the standard logger to write JSON lines.
//
// Code logs with klog.InfoS and klog.ErrorS and passes the keys "vm" and "service" itself if a process runs more than
// one VM. The handler adds the process's default values to lines without these keys.
package logging

import (
	"context"
	"flag"
	"io"
	"log"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Keys that every log line has.
const (
	KeyVM      = "vm"
	KeyService = "service"
)

// Setup directs klog messages up to a verbosity and the lines of the standard logger to w, as one JSON object per line.
// vm and service are the default values of the keys. Setup must be called once, before any goroutine logs. Goroutines
// that log wait for w; see SetupOutput.
func Setup(w io.Writer, vm, service string, verbosity int) error {
	return setup(func(slog.Level) io.Writer { return w }, vm, service, verbosity)
}

// SetupOutput is Setup with an output that no goroutine waits for.
func SetupOutput(o *Output, vm, service string, verbosity int) error {
	return setup(func(l slog.Level) io.Writer { return severityWriter{o, severityOf(l)} }, vm, service, verbosity)
}

func setup(writerOf func(slog.Level) io.Writer, vm, service string, verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	h := newHandler(writerOf, vm, service, verbosity)
	klog.SetSlogLogger(slog.New(h))
	// Libraries such as net/rpc and net/http write to the standard logger.
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(h, slog.LevelInfo).Writer())
	return nil
}

// handler adds default attributes to records that do not have them.
type handler struct {
	// bySeverity holds a handler for each severity, since a handler does not tell its writer the level of a line.
	bySeverity [severityCount]slog.Handler
	defaults   []slog.Attr
}

func newHandler(writerOf func(slog.Level) io.Writer, vm, service string, verbosity int) *handler {
	h := &handler{defaults: []slog.Attr{slog.String(KeyVM, vm), slog.String(KeyService, service)}}
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity)}
	for i, l := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		h.bySeverity[i] = slog.NewJSONHandler(writerOf(l), options)
	}
	return h
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool {
	return h.bySeverity[severityOf(l)].Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	r = r.Clone()
	r.AddAttrs(missingAttrs(h.defaults, func(yield func(slog.Attr) bool) { r.Attrs(yield) })...)
	return h.bySeverity[severityOf(r.Level)].Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	out := &handler{defaults: missingAttrs(h.defaults, func(yield func(slog.Attr) bool) {
		for _, a := range attrs {
			if !yield(a) {
				return
			}
		}
	})}
	for i, inner := range h.bySeverity {
		out.bySeverity[i] = inner.WithAttrs(attrs)
	}
	return out
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	out := &handler{defaults: h.defaults}
	for i, inner := range h.bySeverity {
		out.bySeverity[i] = inner.WithGroup(name)
	}
	return out
}

// missingAttrs returns the defaults whose keys do not occur in the present attributes.
func missingAttrs(defaults []slog.Attr, present func(yield func(slog.Attr) bool)) []slog.Attr {
	seen := make(map[string]bool)
	present(func(a slog.Attr) bool { seen[a.Key] = true; return true })
	var out []slog.Attr
	for _, d := range defaults {
		if !seen[d.Key] {
			out = append(out, d)
		}
	}
	return out
}
