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

// TestFollow guards against a changed file that is not reloaded without a signal, a signal that is ignored because the
// file has not changed, and an unchanged file that is reloaded repeatedly.
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
		watchFile(ctx, path, hup, func(bySignal bool) bool {
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
		t.Error("the first reload was not caused by the signal")
	}
	if err := os.WriteFile(path, []byte("the second one"), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case bySignal := <-reads:
		if bySignal {
			t.Error("the reload after a change of the file was reported as caused by a signal")
		}
	case <-time.After(2 * pollInterval):
		t.Fatal("the changed file was not reloaded")
	}
	select {
	case <-reads:
		t.Error("the unchanged file was reloaded")
	case <-time.After(pollInterval + time.Second):
	}
}
