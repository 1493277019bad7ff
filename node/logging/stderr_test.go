package logging

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// panicVariable makes the test binary a process that panics.
const panicVariable = "LOGGING_TEST_PANIC"

func TestMain(m *testing.M) {
	if os.Getenv(panicVariable) != "" {
		if _, err := DetachStderr(); err != nil {
			os.Exit(1)
		}
		panic(panicVariable)
	}
	os.Exit(m.Run())
}

// panicExitCode is the exit code of a Go process after a panic.
const panicExitCode = 2

// TestPanicMessage guards against a process that hangs in the message of a panic because its standard error is not
// read, and against a message that is lost although it is read.
func TestPanicMessage(t *testing.T) {
	for _, c := range []struct {
		name         string
		full, closed bool
	}{{"read", false, false}, {"full", true, false}, {"closed", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			if c.full {
				fillPipe(t, w)
			}
			if c.closed {
				r.Close()
			}
			p := exec.Command(os.Args[0])
			p.Env = append(os.Environ(), panicVariable+"=1")
			p.Stderr = w
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			hung := time.AfterFunc(closeTimeout, func() { _ = p.Process.Kill() })
			_ = p.Wait()
			w.Close()
			if !hung.Stop() {
				t.Fatalf("the process did not end within %v", closeTimeout)
			}
			if c.closed {
				return
			}
			if code := p.ProcessState.ExitCode(); code != panicExitCode {
				t.Errorf("exit code %d, want %d", code, panicExitCode)
			}
			text, err := io.ReadAll(r)
			if err != nil {
				t.Fatal(err)
			}
			if !c.full && !bytes.Contains(text, []byte("panic: "+panicVariable)) {
				t.Errorf("no message of the panic: %q", text)
			}
		})
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for block := make([]byte, 4096); ; {
		if _, err := w.Write(block); err != nil {
			break
		}
	}
	// The process gets a descriptor that waits, as from a shell.
	if err := syscall.SetNonblock(int(w.Fd()), false); err != nil {
		t.Fatal(err)
	}
}
