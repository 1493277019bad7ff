// Package logging sets up the log of a process: klog messages as JSON lines.
//
// Code logs with klog.InfoS and klog.ErrorS and gives the keys "vm" and "service" where a process runs more
// than one VM. The handler adds the process's own values to lines without them.
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

// Keys that every line carries.
const (
	KeyVM      = "vm"
	KeyService = "service"
)

// Setup sends klog messages up to a verbosity and lines of the standard logger to w, one JSON object a line. vm and service are the values of
// lines that carry none. It is called once, before any goroutine logs.
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

// handler adds the values of the process to records without them.
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
	r.AddAttrs(without(h.defaults, func(yield func(slog.Attr) bool) { r.Attrs(yield) })...)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	rest := without(h.defaults, func(yield func(slog.Attr) bool) {
		for _, a := range attrs {
			if !yield(a) {
				return
			}
		}
	})
	return &handler{Handler: h.Handler.WithAttrs(attrs), defaults: rest}
}

// without returns the defaults whose keys are not among the present attributes.
func without(defaults []slog.Attr, present func(yield func(slog.Attr) bool)) []slog.Attr {
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
