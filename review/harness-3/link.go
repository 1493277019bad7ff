package main

import (
	"net"
	"sync"
	"time"
)

// pace is the rate of one direction of a VM's link, which all its connections share.
type pace struct {
	mu   sync.Mutex
	next time.Time
	// bytes is what a second carries.
	bytes float64
}

// wait waits until n further bytes have passed.
func (p *pace) wait(n int) {
	p.mu.Lock()
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / p.bytes * float64(time.Second)))
	until := p.next
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func newPace(mbps float64) *pace { return &pace{bytes: mbps * 1e6 / 8} }

// path returns the address of a path to a target with the rates of its two directions.
func (w *world) path(target string, up, down *pace) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.run(func() {
		<-w.ctx.Done()
		l.Close()
	})
	w.run(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			pipe := func(to, from net.Conn, p *pace) {
				defer to.Close()
				defer from.Close()
				buf := make([]byte, 4<<10)
				for {
					n, err := from.Read(buf)
					if n > 0 {
						p.wait(n)
						if _, err := to.Write(buf[:n]); err != nil {
							return
						}
					}
					if err != nil {
						return
					}
				}
			}
			// Small buffers, as on the platform: what a link holds is little.
			for _, c := range []net.Conn{in, out} {
				_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
				_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
			}
			w.run(func() { <-w.ctx.Done(); in.Close(); out.Close() })
			go pipe(out, in, up)
			go pipe(in, out, down)
		}
	})
	return l.Addr().String(), nil
}
