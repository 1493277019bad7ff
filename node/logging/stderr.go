package logging

import (
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// DetachStderr keeps the process from hanging in the message of a fatal error. The Go runtime writes the message to
// standard error itself, when no goroutine runs any more, and waits for the reader of a pipe that is full. DetachStderr
// replaces the descriptor of such a pipe by one that does not wait, so that the part of the message that doesn't fit is
// lost. The setting belongs to a new opening of the pipe: other processes that share it are not affected. Files, and
// sockets and terminals, which cannot be opened again, keep their descriptor.
//
// It returns a file for all other writes to standard error, which are complete and may wait. On an error it returns
// os.Stderr, which is then unchanged.
func DetachStderr() (*os.File, error) {
	var status syscall.Stat_t
	if err := syscall.Fstat(syscall.Stderr, &status); err != nil {
		return os.Stderr, errors.Wrap(err, "status of standard error")
	}
	if status.Mode&syscall.S_IFMT != syscall.S_IFIFO {
		return os.Stderr, nil
	}
	nonblocking, err := syscall.Open("/proc/self/fd/2", syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errors.Is(err, syscall.ENXIO) {
		// The pipe has no reader: writes fail at once.
		return os.Stderr, nil
	}
	if err != nil {
		return os.Stderr, errors.Wrap(err, "open standard error again")
	}
	defer syscall.Close(nonblocking)
	original, err := syscall.Dup(syscall.Stderr)
	if err != nil {
		return os.Stderr, errors.Wrap(err, "duplicate standard error")
	}
	syscall.CloseOnExec(original)
	if err := syscall.Dup3(nonblocking, syscall.Stderr, 0); err != nil {
		syscall.Close(original)
		return os.Stderr, errors.Wrap(err, "replace standard error")
	}
	return os.NewFile(uintptr(original), "/dev/stderr"), nil
}
