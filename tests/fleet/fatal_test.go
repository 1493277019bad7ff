package fleet

import (
	"syscall"
	"testing"
	"time"
)

// TestFatalErrorWithFullOutput guards against a process that hangs instead of ending because the Go runtime writes the
// message of a fatal error to a pipe that is not read.
func TestFatalErrorWithFullOutput(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.awaitReady()
	v := f.vms[0]
	f.redirectOutput(func(outputPipe) {})
	p := v.process()
	// The timer ends a process that hangs, so that the test ends too.
	hung := time.AfterFunc(10*time.Second, func() { _ = p.Kill() })
	_ = f.stop(v, syscall.SIGQUIT)
	if !hung.Stop() {
		t.Error("the process did not end within 10 s of a fatal error")
	}
	f.start(v)
}
