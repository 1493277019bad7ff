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
// vm and service are the default values of the keys. Setup must be called once, before any goroutine logs.
func Setup(w io.Writer, vm, service string, verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(verbosity)); err != nil {
		return err
	}
	h := newHandler(w, vm, service, verbosity)
	klog.SetSlogLogger(slog.New(h))
	// Libraries such as net/rpc and net/http write to the standard logger.
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(h, slog.LevelInfo).Writer())
	return nil
}

// handler adds default attributes to records that do not have them.
type handler struct {
	slog.Handler
	defaults []slog.Attr
}

func newHandler(w io.Writer, vm, service string, verbosity int) *handler {
	return &handler{
		Handler:  slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)}),
		defaults: []slog.Attr{slog.String(KeyVM, vm), slog.String(KeyService, service)},
	}
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	r = r.Clone()
	r.AddAttrs(missingAttrs(h.defaults, func(yield func(slog.Attr) bool) { r.Attrs(yield) })...)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	rest := missingAttrs(h.defaults, func(yield func(slog.Attr) bool) {
		for _, a := range attrs {
			if !yield(a) {
				return
			}
		}
	})
	return &handler{Handler: h.Handler.WithAttrs(attrs), defaults: rest}
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
