package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// fleetPath is the HTTP path that returns the fleetState.
const fleetPath = "/fleet"

// fleetState holds the addresses of the stand-ins of a fleet and the bytes that its workers received and sent.
type fleetState struct {
	Store   string   `json:"store"`
	Workers []string `json:"workers"`
	// Executors may be used by one cluster of entry VMs at a time.
	Executors     []string `json:"executors"`
	ReceivedBytes int64    `json:"in"`
	SentBytes     int64    `json:"out"`
	// StoreBytes is the number of bytes that the store received and sent.
	StoreBytes int64 `json:"store_bytes"`
}

const (
	// executorCount executors that run executorSlots requests at a time, each for executorRunTime, serve up to 6,400
	// requests per second.
	executorCount   = 4
	executorSlots   = 8
	executorRunTime = 5 * time.Millisecond
)

// ServeFleet runs n stand-in workers, four stand-in executors and a stand-in store on free ports and serves their
// addresses at l until ctx ends. Run in a separate process, it keeps their processor time and memory out of the
// measured process.
func ServeFleet(ctx context.Context, l net.Listener, n int) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workerBytes, storeBytes trafficCounter
	var state fleetState
	start := func(run func(net.Listener) error) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "listen for a stand-in")
		}
		wg.Go(func() { _ = run(listener) })
		return listener.Addr().String(), nil
	}
	address, err := start(func(l net.Listener) error { return store.Run(ctx, countingListener{l, &storeBytes}, store.New()) })
	if err != nil {
		return err
	}
	state.Store = address
	for range n {
		address, err := start(func(l net.Listener) error {
			return worker.Run(ctx, countingListener{l, &workerBytes}, worker.New())
		})
		if err != nil {
			return err
		}
		state.Workers = append(state.Workers, address)
	}
	for range executorCount {
		address, err := start(func(l net.Listener) error {
			return executor.Run(ctx, l, executor.New(executorSlots, executorRunTime))
		})
		if err != nil {
			return err
		}
		state.Executors = append(state.Executors, address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(fleetPath, func(w http.ResponseWriter, _ *http.Request) {
		current := state
		current.ReceivedBytes, current.SentBytes, current.StoreBytes = workerBytes.received.Load(), workerBytes.sent.Load(), storeBytes.total()
		_ = json.NewEncoder(w).Encode(current)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: controlTimeout}
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the fleet state")
	}
	return nil
}

// fetchFleetState returns the state of the fleet at an address.
func fetchFleetState(ctx context.Context, address string) (fleetState, error) {
	var out fleetState
	err := callJSON(ctx, http.MethodGet, "http://"+address+fleetPath, nil, &out)
	return out, err
}

// fetchStoreCounts returns the numbers of calls that a stand-in store received.
func fetchStoreCounts(ctx context.Context, address string) (store.Counts, error) {
	var out store.Counts
	err := callJSON(ctx, http.MethodPost, "http://"+address+store.PathCounts, nil, &out)
	return out, err
}

// setStoreDelay makes a stand-in store delay each call.
func setStoreDelay(ctx context.Context, address string, d time.Duration) error {
	var out struct{}
	return callJSON(ctx, http.MethodPost, "http://"+address+store.PathFaults, store.Faults{CallDelayMS: d.Milliseconds()}, &out)
}

// callJSON makes one HTTP call with in as its JSON body, unless it is nil, and decodes the JSON response into out.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Wrap(err, "encode the request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer resp.Body.Close()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "decode the response of %s", url)
}
