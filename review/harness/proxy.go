package main

import (
	"io"
	"net"
	"sync"
)

// proxy is a path to an executor that can be cut: while it is cut, it resets connections and refuses new ones, and the
// executor behind it works on.
type proxy struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	p := &proxy{address: address, target: target, conns: map[net.Conn]bool{}}
	return p, p.heal()
}

// heal opens the path.
func (p *proxy) heal() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return nil
}

// cut cuts the path: it resets all connections, and new ones are refused.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}
