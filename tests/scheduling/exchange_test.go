package scheduling

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/workers"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p))) // Counted first, because the peer may read the counter once it has the last byte.
	return c.Conn.Write(p)
}

// countedWorker is a stand-in worker on the loopback interface with a number of tasks, of which at most eight run and
// the others have ended. It counts the bytes of its exchanges.
type countedWorker struct {
	bytes        atomic.Int64
	client       *worker.HTTPClient
	nextExchange worker.Exchange
}

func newCountedWorker(tb testing.TB, n int) *countedWorker {
	tb.Helper()
	x := &countedWorker{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = standin.Run(ctx, countingListener{l, &x.bytes}, standin.New()); close(done) }()
	tb.Cleanup(func() { x.client.Close(); cancel(); <-done })
	x.client = worker.NewHTTPClient(l.Addr().String())
	x.nextExchange = worker.Exchange{Holder: "vm-0001", Epoch: model.Epoch{Store: 1234}, Domain: "r1-fd3", LeaseMS: 6000}
	for i := range n {
		task := model.TaskID{Job: "r1-fd3/7b0c9a52-3d0e-4a7a-9a58-0c3cf2f9d001", Index: i, Attempt: 1}
		hold := worker.Command{Op: worker.OpHold, Task: task, GPUs: 1 << (i % 8), HoldMS: 6000, RunMS: 3_600_000}
		if i == 0 { // The scheduler sends the record of a job once per worker.
			hold.Record = make([]byte, 350)
		}
		x.nextExchange.Commands = append(x.nextExchange.Commands, hold, worker.Command{Op: worker.OpRelease, Task: task})
		if i < n-8 {
			x.nextExchange.Commands = append(x.nextExchange.Commands, worker.Command{Op: worker.OpStop, Task: task})
		}
	}
	x.exchange(tb)
	return x
}

// exchange runs one exchange and returns its bytes in both directions.
func (x *countedWorker) exchange(tb testing.TB) int64 {
	before := x.bytes.Load()
	r, err := x.client.Exchange(context.Background(), x.nextExchange)
	if err != nil || !r.Accepted || len(r.Refusals) > 0 {
		tb.Fatalf("report %+v, error %v", r, err)
	}
	x.nextExchange.Commands, x.nextExchange.SeenReport = nil, r.Number
	return x.bytes.Load() - before
}

const (
	// maxTrafficPerSecond bounds the control traffic of a node in bytes per second.
	maxTrafficPerSecond = 5000
	// maxIdleExchange bounds the bytes of one exchange, if a holder has an exchange with each worker every two seconds.
	maxIdleExchange = 2 * maxTrafficPerSecond / holderWorkers
)

// TestControlTraffic guards against control traffic that grows with the number of tasks of a worker, and against header
// fields that are sent uncompressed in each exchange. The first exchanges of a connection are not measured, because
// they carry its settings.
func TestControlTraffic(t *testing.T) {
	for _, n := range []int{0, 8, 32} {
		x := newCountedWorker(t, n)
		x.exchange(t)
		idle := x.exchange(t)
		x.nextExchange.SeenReport = 0
		full := x.exchange(t)
		t.Logf("%d tasks: %d bytes idle, %d bytes with a full report", n, idle, full)
		if full > maxTrafficPerSecond {
			t.Errorf("%d tasks: full report of %d bytes", n, full)
		}
		if idle > maxIdleExchange {
			t.Errorf("%d tasks: idle exchange of %d bytes", n, idle)
		}
	}
}

// holderWorkers is the number of workers of one holder: 1,200 workers in seven failure domains.
const holderWorkers = 172

// benchmarkTime is the measured time per iteration of BenchmarkHolder. Each worker has five exchanges in it.
const benchmarkTime = 10 * time.Second

// BenchmarkHolder measures the CPU time that the exchanges with holderWorkers idle workers cost a holder. The
// workers run in a child process, so that only the CPU time of the holder is measured.
func BenchmarkHolder(b *testing.B) {
	address := startWorkerProcess(b)
	vms := make([]model.VM, holderWorkers)
	for i := range vms {
		vms[i] = model.VM{ID: fmt.Sprint("w", i), Role: model.RoleWorker, Domain: domainName, Address: address}
	}
	sink := &reportSink{}
	dial := func(a string) worker.Client {
		return &countingClient{Client: worker.NewHTTPClient(a), n: &sink.exchanges}
	}
	k, err := kernel.New(nil,
		kernel.Spec{Name: names.Scheduler, Service: sink},
		kernel.Spec{Name: names.Authority, Service: &holderAnnouncer{vms}, DependsOn: []kernel.Name{names.Workers}},
		workers.New("v0", domainName, dial, nil).Spec(),
	)
	if err != nil {
		b.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(4 * time.Second) // Until all connections are open and the exchanges are spread over their interval.
	b.ResetTimer()
	before, first := processCPUTime(), sink.exchanges.Load()
	for range b.N {
		time.Sleep(benchmarkTime)
	}
	used, n := processCPUTime()-before, sink.exchanges.Load()-first
	b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu-µs/exchange")
	b.ReportMetric(100*float64(used)/float64(benchmarkTime)/float64(b.N), "%core")
	b.ReportMetric(float64(n)/float64(b.N), "exchanges/op")
	_ = stop(nil)
}

// countingClient counts the successful exchanges.
type countingClient struct {
	worker.Client
	n *atomic.Int64
}

func (c *countingClient) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	r, err := c.Client.Exchange(ctx, x)
	if err == nil {
		c.n.Add(1)
	}
	return r, err
}

// reportSink discards the messages to the scheduler.
type reportSink struct{ exchanges atomic.Int64 }

func (*reportSink) Start(*kernel.Context) error             { return nil }
func (*reportSink) Handle(*kernel.Context, kernel.Envelope) {}
func (*reportSink) Drain(c *kernel.Context)                 { c.CompleteDrain() }

// holderAnnouncer publishes the list of workers and the authority over them.
type holderAnnouncer struct{ vms []model.VM }

func (a *holderAnnouncer) Start(c *kernel.Context) error {
	c.Publish(message.MembersChanged{Workers: a.vms})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: model.Epoch{Store: 1}})
	return nil
}
func (*holderAnnouncer) Handle(*kernel.Context, kernel.Envelope) {}
func (*holderAnnouncer) Drain(c *kernel.Context)                 { c.CompleteDrain() }

// workerProcessEnv is the environment variable that makes the test binary serve exchanges instead of running tests.
const workerProcessEnv = "VERBENAFLOW_TEST_WORKER_PROCESS"

// startWorkerProcess starts a child process that answers every exchange with the same report.
func startWorkerProcess(tb testing.TB) (address string) {
	tb.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), workerProcessEnv+"=1")
	in, err := child.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	out, err := child.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := child.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = in.Close(); _ = child.Wait() })
	if _, err := fmt.Fscanln(out, &address); err != nil {
		tb.Fatal(err)
	}
	return address
}

// serveWorkerProcess runs the child process of startWorkerProcess. It returns when its standard input is closed.
func serveWorkerProcess() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	go func() {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			worker.WriteReport(w, worker.Report{Accepted: true, Epoch: model.Epoch{Store: 1}, Number: 1})
		})}
		_ = server.Serve(l)
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// processCPUTime returns the CPU time of the process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
