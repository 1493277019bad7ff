package crowd

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/platform/front"
)

const (
	// legalBytes is the largest size of a body.
	legalBytes = front.MaxBodyBytes
	// farOver is a size far over the limit.
	farOver = 1 << 30
	// sentFarOver is how much of a body far over the limit a client sends.
	sentFarOver = 8 << 20
	pieceBytes  = 4 << 10
)

// header writes the header of a submission, whose body is chunked if length is negative.
func header(w *bufio.Writer, length int) {
	fmt.Fprintf(w, "POST %s00000000000000aa HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 30000\r\n", prefix, hostName, apiKey)
	if length < 0 {
		fmt.Fprintf(w, "Transfer-Encoding: chunked\r\n\r\n")
		return
	}
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", length)
}

// body writes n bytes of the beginning of a submission.
func body(w *bufio.Writer, n int) {
	_, _ = w.WriteString(`{"spec":"`)
	for n -= len(`{"spec":"`); n > 0; n -= pieceBytes {
		if _, err := w.WriteString(filler[:min(n, pieceBytes)]); err != nil {
			return
		}
	}
}

var filler = strings.Repeat("x", pieceBytes)

// chunks writes n bytes of a chunked body.
func chunks(w *bufio.Writer, n, chunk int) {
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	for ; n >= chunk; n -= chunk {
		if _, err := w.WriteString(text); err != nil {
			return
		}
	}
}

// stopShort sends a body of the largest legal size but for its last byte.
func stopShort(w *bufio.Writer) {
	header(w, legalBytes)
	body(w, legalBytes-1)
}

// stopShortInPieces is stopShort piece by piece.
func stopShortInPieces(w *bufio.Writer) {
	header(w, legalBytes)
	for sent := 0; sent < legalBytes-pieceBytes && w.Flush() == nil; sent += pieceBytes {
		_, _ = w.WriteString(filler)
		time.Sleep(time.Millisecond)
	}
	_, _ = w.WriteString(filler[1:])
}

// largeChunks sends a body of nearly the largest legal size in chunks of 64 KiB, without its end.
func largeChunks(w *bufio.Writer) {
	header(w, -1)
	chunks(w, legalBytes-1, 64<<10)
	chunks(w, 64<<10-1, 1)
}

// tinyChunks is largeChunks in chunks of 2 bytes.
func tinyChunks(w *bufio.Writer) {
	header(w, -1)
	chunks(w, legalBytes-1, 2)
}

// announcedFarOver announces a body far over the limit, and sends one byte less than the limit.
func announcedFarOver(w *bufio.Writer) {
	header(w, farOver)
	body(w, legalBytes-1)
}

// sentOver sends a chunked body far over the limit.
func sentOver(w *bufio.Writer) {
	header(w, -1)
	chunks(w, sentFarOver, 32<<10)
}

// endlessHeader sends a header without an end.
func endlessHeader(w *bufio.Writer) {
	fmt.Fprintf(w, "GET %s00000000000000aa HTTP/1.1\r\nHost: %s\r\nX-Filler: ", prefix, hostName)
	_, _ = w.WriteString(filler)
}

// pipeline sends calls whose answers it does not read.
func pipeline(w *bufio.Writer) {
	for range 2000 {
		if _, err := fmt.Fprintf(w, "GET %snone HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", prefix, hostName, apiKey); err != nil {
			return
		}
	}
}

// testCrowd checks a VM under a crowd whose members all say the same.
func testCrowd(t *testing.T, n int, say member) {
	f := newFleet(t, 1)
	v := f.vms[0]
	check := f.watch(v)
	leave := f.crowd(v, n, say)
	f.checkServed(v)
	check()
	check = f.watch(v)
	leave()
	f.checkRoomReturned(v)
	check()
}

// TestWholeBodies guards against a process that runs out of memory because many bodies of legal size stop one byte
// short of their end.
func TestWholeBodies(t *testing.T) { testCrowd(t, bodyCrowd, stopShort) }

// TestBodiesInPieces guards against the same with bodies that arrive piece by piece.
func TestBodiesInPieces(t *testing.T) { testCrowd(t, bodyCrowd, stopShortInPieces) }

// TestLargeChunks guards against the same with chunked bodies in large chunks.
func TestLargeChunks(t *testing.T) { testCrowd(t, bodyCrowd, largeChunks) }

// TestTinyChunks guards against the same with chunked bodies in very small chunks.
func TestTinyChunks(t *testing.T) { testCrowd(t, bodyCrowd, tinyChunks) }

// TestAnnouncedFarOver guards against the same with bodies whose announced size is far over the limit.
func TestAnnouncedFarOver(t *testing.T) { testCrowd(t, bodyCrowd, announcedFarOver) }

// TestSentFarOver guards against the same with bodies that go on far over the limit.
func TestSentFarOver(t *testing.T) { testCrowd(t, bodyCrowd, sentOver) }

// TestEndlessHeaders guards against a process whose descriptors or memory are used up by headers without an end.
func TestEndlessHeaders(t *testing.T) { testCrowd(t, connectionCrowd, endlessHeader) }

// TestIdleConnections guards against a process whose descriptors are used up by connections on which nothing is sent.
func TestIdleConnections(t *testing.T) { testCrowd(t, connectionCrowd, func(*bufio.Writer) {}) }

// TestAnswersNotRead guards against a process that keeps memory, or calls in progress, for answers that are not taken.
func TestAnswersNotRead(t *testing.T) { testCrowd(t, bodyCrowd, pipeline) }

// TestChangeOfHolder guards against a VM that does not become the holder, or serves nobody, because of a crowd that does
// all of the above while the holder is lost.
func TestChangeOfHolder(t *testing.T) {
	f := newFleet(t, 2)
	lost := f.holder()
	next := f.vms[0]
	if next == lost {
		next = f.vms[1]
	}
	check := f.watch(next)
	all := []member{
		stopShort, stopShortInPieces, largeChunks, tinyChunks, announcedFarOver, sentOver, endlessHeader, func(*bufio.Writer) {}, pipeline,
	}
	var wg conc.WaitGroup
	for _, say := range all {
		wg.Go(func() { f.crowd(next, bodyCrowd/2, say) })
	}
	lost.kill()
	wg.Wait()
	f.eventually("the other VM is the holder", func() bool { return f.holder() == next })
	f.checkServed(next)
	check()
}
