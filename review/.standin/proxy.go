package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes channels on to an address. Channels that are open can be made silent for
// good, while new ones work.
type proxy struct {
	target  string
	address string
	mu      sync.Mutex
	// open holds the flags of the open channels.
	open map[*atomic.Bool]bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	p := &proxy{target: target, address: l.Addr().String(), open: map[*atomic.Bool]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(c net.Conn) {
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.open[silent] = true
	p.mu.Unlock()
	go pass(back, c, silent)
	pass(c, back, silent)
	p.mu.Lock()
	delete(p.open, silent)
	p.mu.Unlock()
}

// pass copies from one channel to the other. Once the channel is silent, what arrives is
// dropped, and an end is not passed on.
func pass(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the open channels silent, and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for silent := range p.open {
		silent.Store(true)
	}
	return len(p.open)
}
