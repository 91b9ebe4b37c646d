package benchmark

import (
	"io"
	"net"
	"testing"
	"time"
)

func TestCheckLoopbackAcceptsLoopbackAddressesAlone(t *testing.T) {
	for addr, ok := range map[string]bool{
		"127.0.0.1:80":         true,
		"127.9.9.9:80":         true,
		"[::1]:80":             true,
		"10.0.0.1:80":          false,
		"192.168.0.1:80":       false,
		"0.0.0.0:80":           false,
		"example.org:80":       false,
		"localhost:80":         false,
		"127.0.0.1":            false,
		"[::ffff:10.0.0.1]:80": false,
	} {
		if err := checkLoopback(addr); (err == nil) != ok {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestConnectionsAreClosedAtTheEndOfALoad(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	target, err := Load{
		Target:  TargetFlags{Addr: listener.Addr().String()},
		Traffic: TrafficFlags{Connections: 3},
	}.connect()
	if err != nil {
		t.Fatal(err)
	}
	target.close()
	for range 3 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection stays: %v", err)
		}
	}
}
