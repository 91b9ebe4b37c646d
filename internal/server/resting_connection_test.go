package server

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// restingWorker listens as a worker that closes a connection on which nothing arrives for a time.
func restingWorker(t *testing.T, keepAlive time.Duration) (addr string) {
	t.Helper()
	listener := listenLoopback(t)
	go serveConnections(listener, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			conn.SetReadDeadline(time.Now().Add(keepAlive))
			words, err := readWords(in)
			if err != nil {
				return
			}
			switch words[0] {
			case "RUN":
				io.WriteString(conn, responseTo(words[1]))
			case "NOOP", "INFO":
				io.WriteString(conn, encodeWords(words[1], "PONG", "-", ""))
			}
		}
	})
	return listener.Addr().String()
}

// Orders that come just before and after a worker ends a resting connection are served: the router ends it first. One that
// crossed the worker's end would count as one that may have run.
func TestOrdersAroundTheEndOfARestingConnection(t *testing.T) {
	const keepAlive = time.Second
	_, _, document := siteFor(t, 1, nil)
	firstTopology(document)["members"].([]any)[0].(map[string]any)["host_port"] = restingWorker(t, keepAlive)
	document["settings"].(map[string]any)["limits"].(map[string]any)["keepaliveMs"] = keepAlive.Milliseconds()
	document["names"] = "127.0.0.1:9"
	client := startServer(t, document, Options{}).dial()
	rests := []time.Duration{0, 795, 850, 930, 990, 1010} // milliseconds
	for n, rest := range rests {
		time.Sleep(rest * time.Millisecond)
		call := callOf(n + 1)
		call.Class = "repair-order"
		if answer, err := client.Do(call); err != nil || answer.Status != fake.Served {
			t.Errorf("an order after %d ms of rest: %+v, %v", rest, answer, err)
		}
	}
}
