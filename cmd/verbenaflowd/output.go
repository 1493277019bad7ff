package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/verbenaflow/verbenaflow/node/logging"
)

// outputTimeout bounds the wait at the end of the process for a reader that does not take the last lines. It is shorter
// than the part of the grace period that is reserved for the exit of the process.
const outputTimeout = 500 * time.Millisecond

// ignoreBrokenPipes keeps the process alive when the reader of its output ends. The Go runtime otherwise ends it with
// SIGPIPE when it writes to standard output or standard error.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// printBounded writes text to a file and waits for at most outputTimeout for its reader.
func printBounded(file *os.File, text string) {
	o := logging.NewOutput(file, "", "")
	o.Print(text)
	o.Close(outputTimeout)
}
