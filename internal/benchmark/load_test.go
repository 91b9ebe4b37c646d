package benchmark

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards the world from the load tool: it sends to loopback addresses alone, and within bounds.
func TestLoadStaysOnLoopbackAndWithinBounds(t *testing.T) {
	for addr, ok := range map[string]bool{"127.0.0.1:80": true, "127.9.9.9:80": true, "[::1]:80": true, "10.0.0.1:80": false, "192.168.0.1:80": false,
		"0.0.0.0:80": false, "example.org:80": false, "localhost:80": false, "127.0.0.1": false, "[::ffff:10.0.0.1]:80": false} {
		if err := checkLoopback(addr); (err == nil) != ok {
			t.Errorf("%s: %v", addr, err)
		}
	}
	for want, l := range map[string]Load{
		"no loopback address": {Addr: "10.1.2.3:80", Rate: 1, Length: time.Second, Conns: 1, Keys: 1},
		"is no address":       {Hook: "http://127.0.0.1/hooks", Rate: 1, Length: time.Second, Conns: 1, Keys: 1},
		"out of bounds":       {Addr: "127.0.0.1:80", Rate: maxRate + 1, Length: time.Second, Conns: 1, Keys: 1},
	} {
		if err := l.Run(io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %s", l, err, want)
		}
	}
	long := Load{Addr: "127.0.0.1:80", Rate: 1, Length: time.Hour, Steps: 2, Conns: 1, Keys: 1}
	if err := long.Run(io.Discard); err == nil || !strings.Contains(err.Error(), "out of bounds") {
		t.Errorf("two hours: %v", err)
	}
}

// Guards the end of a load: what was connected is closed, once.
func TestLoadEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := Load{Addr: ln.Addr().String(), Conns: 3}
	target, err := l.connect()
	if err != nil {
		t.Fatal(err)
	}
	target.close()
	for range 3 {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection stays: %v", err)
		}
	}
}
