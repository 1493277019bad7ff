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

// fleetPath is the path at which a fleet tells its addresses and counts.
const fleetPath = "/fleet"

// fleetState is what a fleet tells: the addresses of its stand-ins and the bytes that its workers received
// and sent.
type fleetState struct {
	Store   string   `json:"store"`
	Workers []string `json:"workers"`
	// Executors are free to use by one entry VM cluster at a time.
	Executors []string `json:"executors"`
	In        int64    `json:"in"`
	Out       int64    `json:"out"`
	// StoreBytes counts the traffic of the store in both directions.
	StoreBytes int64 `json:"store_bytes"`
}

const (
	// executors with executorSlots requests at a time, each of executorTook, serve up to 6,400 requests a second.
	executors     = 4
	executorSlots = 8
	executorTook  = 5 * time.Millisecond
)

// ServeFleet runs n stand-in workers, four executors and a store on free ports and tells their addresses at l until
// ctx ends. In a process of its own it keeps their processor time and memory out of the measured process.
func ServeFleet(ctx context.Context, l net.Listener, n int) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workerBytes, storeBytes traffic
	var state fleetState
	start := func(run func(net.Listener) error) (string, error) {
		sock, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "stand-in")
		}
		wg.Go(func() { _ = run(sock) })
		return sock.Addr().String(), nil
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
	for range executors {
		address, err := start(func(l net.Listener) error {
			return executor.Run(ctx, l, executor.New(executorSlots, executorTook))
		})
		if err != nil {
			return err
		}
		state.Executors = append(state.Executors, address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(fleetPath, func(w http.ResponseWriter, _ *http.Request) {
		now := state
		now.In, now.Out, now.StoreBytes = workerBytes.in.Load(), workerBytes.out.Load(), storeBytes.total()
		_ = json.NewEncoder(w).Encode(now)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fleet")
	}
	return nil
}

// fleet reads the state of the fleet at an address.
func fleet(ctx context.Context, address string) (fleetState, error) {
	var out fleetState
	err := fetch(ctx, http.MethodGet, "http://"+address+fleetPath, nil, &out)
	return out, err
}

// storeCounts returns the calls that a stand-in store received.
func storeCounts(ctx context.Context, address string) (store.Counts, error) {
	var out store.Counts
	err := fetch(ctx, http.MethodPost, "http://"+address+store.PathCounts, nil, &out)
	return out, err
}

// setStoreDelay makes a stand-in store answer each call after a delay.
func setStoreDelay(ctx context.Context, address string, d time.Duration) error {
	var out struct{}
	return fetch(ctx, http.MethodPost, "http://"+address+store.PathFaults, store.Faults{SlowMS: d.Milliseconds()}, &out)
}

// fetch makes one HTTP call with in as its JSON body, unless it is nil, and decodes the JSON answer.
func fetch(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Wrap(err, "call")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "answer of %s", url)
}
