package benchmark

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

func TestCheckLoopbackAcceptsLoopbackAddressesAlone(t *testing.T) {
	for addr, want := range map[string]error{
		"127.0.0.1:80":         nil,
		"127.9.9.9:80":         nil,
		"[::1]:80":             nil,
		"10.0.0.1:80":          errNotLoopback,
		"192.168.0.1:80":       errNotLoopback,
		"0.0.0.0:80":           errNotLoopback,
		"example.org:80":       errNotLoopback,
		"localhost:80":         errNotLoopback,
		"127.0.0.1":            errNoAddress,
		"[::ffff:10.0.0.1]:80": errNotLoopback,
	} {
		t.Run(addr, func(t *testing.T) {
			if err := checkLoopback(addr); !errors.Is(err, want) {
				t.Errorf("%v, want %v", err, want)
			}
		})
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
			t.Errorf("a connection is not closed: %v", err)
		}
	}
}
