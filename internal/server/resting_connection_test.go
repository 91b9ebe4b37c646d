package server

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// newIdleTimeoutWorker starts a worker that closes a connection after keepAlive without a command.
func newIdleTimeoutWorker(t *testing.T, keepAlive time.Duration) (addr string) {
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
				io.WriteString(conn, servedResponse(words[1]))
			case "NOOP", "INFO":
				io.WriteString(conn, encodeWords(words[1], "PONG", "-", ""))
			}
		}
	})
	return listener.Addr().String()
}

// Orders that arrive just before and after a worker would close an idle connection are served, because the router
// closes it first. An order that crossed the worker's close would fail, because it may have run.
func TestOrdersAroundTheCloseOfAnIdleConnection(t *testing.T) {
	const keepAlive = time.Second
	_, _, document := newSite(t, 1, nil)
	configuredTopology(document)["members"].([]any)[0].(map[string]any)["host_port"] = newIdleTimeoutWorker(t, keepAlive)
	document["settings"].(map[string]any)["limits"].(map[string]any)["keepaliveMs"] = keepAlive.Milliseconds()
	document["names"] = "127.0.0.1:9"
	client := startServer(t, document, Options{}).dial()
	idleTimes := []time.Duration{0, 795, 850, 930, 990, 1010} // milliseconds
	for n, idle := range idleTimes {
		time.Sleep(idle * time.Millisecond)
		request := newRequest(n + 1)
		request.Class = "repair-order"
		if response, err := client.Do(request); err != nil || response.Status != fake.Served {
			t.Errorf("an order after %d ms without a command: %+v, %v", idle, response, err)
		}
	}
}
