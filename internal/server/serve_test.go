package server

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
	"crankhold/internal/logging"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:10080","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "names":"127.0.0.1:1053","known":{"offset":3,"batch":[{"offset":3,"topology":{"complete":true,"members":[]}}]},
 "settings":{"classes":[{"name":"repair-order","deadlineMs":3000,"goalTimeMs":1200,"semantics":"unsafe","group":"all"}]}}`

// echoWorker starts a worker that responds to each RUN with the word done and the body of the request.
func echoWorker(t *testing.T) (addr string, runs chan string) {
	t.Helper()
	ln := listenLoopback(t)
	runs = make(chan string, 100)
	go serveCommands(ln, func(c net.Conn, words []string) {
		if len(words) == 4 && words[0] == "RUN" {
			runs <- words[3]
			io.WriteString(c, encodeWords(words[1], "HIT", "detail=hot", "done "+words[3]))
		}
	})
	return ln.Addr().String(), runs
}

// writeRequest writes a Thrift call of the method execute.
func writeRequest(c net.Conn, seq uint32, id, body string) {
	text := func(b []byte, s string) []byte { return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...) }
	b := text([]byte{0, 0, 0, 0, 0x80, 1, 0, 1}, "execute")
	b = append(binary.BigEndian.AppendUint32(b, seq), 13, 0, 1, 11, 11, 0, 0, 0, 4)
	for _, s := range []string{"class", "repair-order", "id", id, "wait", "3000", "key", "7f3a9c21e0b4d655"} {
		b = text(b, s)
	}
	b = append(text(append(b, 11, 0, 2), body), 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	c.Write(b)
}

// An end-to-end test over sockets: a request gets its response, also after a reload that changes the discovery server,
// after a reload of an invalid file, and on an open connection after SIGTERM. Serve then returns without an error.
func TestServesAndStops(t *testing.T) {
	addr, runs := echoWorker(t)
	discoveryServer, err := net.ListenPacket("udp", "127.0.0.1:0") // a discovery server that never responds
	if err != nil {
		t.Fatal(err)
	}
	defer discoveryServer.Close()
	listen, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.NewReplacer("127.0.0.1:10080", listen, "127.0.0.1:1053", discoveryServer.LocalAddr().String(), `"members":[]`,
		fmt.Sprintf(`"members":[{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]`, addr)).Replace(validConfig)
	writeText(t, path, text)
	server := startServerWithFile(t, path, Options{})
	newDiscoveryServer, err := net.ListenPacket("udp", "127.0.0.1:0") // the discovery server that a reload names
	if err != nil {
		t.Fatal(err)
	}
	defer newDiscoveryServer.Close()
	newDiscoveryServer.SetDeadline(time.Now().Add(20 * time.Second))
	reload := func(text string, wantErr bool) {
		writeText(t, path, text)
		if err := server.reload(); (err != nil) != wantErr {
			t.Errorf("the configuration was read again: %v", err)
		}
	}
	server.dial().Close() // waits until the server listens
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	for i, body := range []string{"before", "moved", "unread", "after"} {
		switch body {
		case "moved":
			reload(strings.Replace(text, discoveryServer.LocalAddr().String(), newDiscoveryServer.LocalAddr().String(), 1), false)
			if _, _, err := newDiscoveryServer.ReadFrom(make([]byte, 512)); err != nil {
				t.Fatalf("the new discovery server received no query: %v", err)
			}
		case "unread":
			reload(text[:len(text)/2], true)
		case "after":
			syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		}
		writeRequest(conn, uint32(i+1), fmt.Sprintf("%016x", i), body)
		var size [4]byte
		if _, err := io.ReadFull(conn, size[:]); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, binary.BigEndian.Uint32(size[:]))
		if _, err := io.ReadFull(conn, got); err != nil || !strings.Contains(string(got), "done "+body) {
			t.Fatalf("response %q, %v", got, err)
		}
		if ran := <-runs; ran != body {
			t.Errorf("ran %q", ran)
		}
	}
	if err := <-server.serveResult; err != nil {
		t.Error(err)
	}
}

// A server logs to the logger of its options, in the order of its states.
func TestServerLogsToTheLoggerOfItsOptions(t *testing.T) {
	_, _, document := newSite(t, 1, nil)
	var log bytes.Buffer
	server := startServer(t, document, Options{Logger: logging.New(&log, slog.LevelInfo)})
	server.dial().Close()
	server.drain() // nothing writes to the log after that
	rest := log.String()
	for _, event := range []string{"worker_updated", "server_started", "counters_reported", "server_draining", "server_stopped"} {
		_, after, found := strings.Cut(rest, "event="+event)
		if !found {
			t.Fatalf("the log has no %s, or not in its place: %s", event, log.String())
		}
		rest = after
	}
}
