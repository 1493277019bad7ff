package reload

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestFollow guards against a changed file that is not read again without a signal, a signal that is ignored because the
// file is the same, and a file that is read again and again without a change.
func TestFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte("first"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	hup, reads := make(chan os.Signal), make(chan bool)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		follow(ctx, path, hup, func(bySignal bool) bool {
			select {
			case reads <- bySignal:
				return true
			case <-ctx.Done():
				return false
			}
		})
	})
	hup <- syscall.SIGHUP
	if !<-reads {
		t.Error("the file was read without a signal or a change")
	}
	if err := os.WriteFile(path, []byte("the second one"), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case bySignal := <-reads:
		if bySignal {
			t.Error("a change without a signal was taken for a signal")
		}
	case <-time.After(2 * checkEvery):
		t.Fatal("the changed file was not read again")
	}
	select {
	case <-reads:
		t.Error("the file was read again without a change")
	case <-time.After(checkEvery + time.Second):
	}
}
