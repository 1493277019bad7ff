package scheduling

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/platform/worker"
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
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// exchanger is a stand-in worker over loopback with n tasks, of which eight run and the others have ended.
type exchanger struct {
	bytes  atomic.Int64
	client *worker.HTTPClient
	next   worker.Exchange
}

func newExchanger(tb testing.TB, n int) *exchanger {
	tb.Helper()
	x := &exchanger{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = standin.Run(ctx, countingListener{l, &x.bytes}, standin.New()); close(done) }()
	tb.Cleanup(func() { x.client.Close(); cancel(); <-done })
	x.client = worker.NewHTTPClient(l.Addr().String())
	x.next = worker.Exchange{Holder: "vm-0001", Epoch: model.Epoch{Store: 1234}, Domain: "r1-fd3", LeaseMS: 6000}
	for i := range n {
		task := model.TaskID{Job: "r1-fd3/7b0c9a52-3d0e-4a7a-9a58-0c3cf2f9d001", Index: i, Attempt: 1}
		hold := worker.Command{Op: worker.OpHold, Task: task, GPUs: 1 << (i % 8), HoldMS: 6000, RunMS: 3_600_000, Record: make([]byte, 350)}
		x.next.Commands = append(x.next.Commands, hold, worker.Command{Op: worker.OpRelease, Task: task})
		if i < n-8 {
			x.next.Commands = append(x.next.Commands, worker.Command{Op: worker.OpStop, Task: task})
		}
	}
	x.exchange(tb)
	return x
}

// exchange runs one exchange and returns its bytes in both directions.
func (x *exchanger) exchange(tb testing.TB) int64 {
	before := x.bytes.Load()
	r, err := x.client.Exchange(context.Background(), x.next)
	if err != nil || !r.Accepted || len(r.Refusals) > 0 {
		tb.Fatalf("report %+v, error %v", r, err)
	}
	x.next.Commands, x.next.Seen = nil, r.Number
	return x.bytes.Load() - before
}

// trafficBound is the control traffic of a worker in bytes a second. An idle exchange, at most one a second,
// must leave the rest for commands and reports.
const trafficBound = 5000

// TestControlTraffic guards against control traffic that grows with the tasks of a worker.
func TestControlTraffic(t *testing.T) {
	for _, n := range []int{0, 8, 32} {
		x := newExchanger(t, n)
		idle := x.exchange(t)
		x.next.Seen = 0
		t.Logf("%d tasks: %d bytes idle, %d bytes with a full report", n, idle, x.exchange(t))
		if idle > trafficBound/5 {
			t.Errorf("%d tasks: idle exchange of %d bytes", n, idle)
		}
	}
}

// BenchmarkExchange measures the CPU time of both sides of an idle exchange.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			x := newExchanger(b, n)
			b.ResetTimer()
			before := cpu()
			for range b.N {
				x.exchange(b)
			}
			b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// cpu returns the CPU time of the process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
