package fake

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"testing"
	"time"
)

// routerConn is a router's connection to a worker.
type routerConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newRouterConn(t *testing.T, addr string) *routerConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &routerConn{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (r *routerConn) send(words ...string) {
	r.t.Helper()
	if err := writeArray(r.conn, words...); err != nil {
		r.t.Fatal(err)
	}
}

// expect reads a response and compares it.
func (r *routerConn) expect(want ...string) {
	r.t.Helper()
	got, err := readArray(r.in)
	if err != nil || !slices.Equal(got, want) {
		r.t.Errorf("got %q, %v; want %q", got, err, want)
	}
}

const requestFields = "queue=dim-level,path=" + functionKey

func TestRequestIsRejectedUntilItsFunctionIsLoaded(t *testing.T) {
	site := newSite(t, WorkerConfig{Lanes: 1, Queue: 1}, nil)
	router := newRouterConn(t, site.Workers[0].Addr)
	router.send("RUN", "1", requestFields, "lamp")
	router.expect("1", "NONE", "-", "")
	router.send("HOLD", "2", "path="+functionKey+",count=0")
	router.expect("2", "HIT", "count=0", "")
	router.send("HOLD", "3", "path="+functionKey+",count=1")
	router.expect("3", "HIT", "count=1", "")
	router.send("RUN", "4", requestFields, "lamp")
	router.expect("4", "HIT", "detail=hot,use=inflight:0", "s-1 lamp")
	router.send("FREE", functionKey)
	router.send("RUN", "5", requestFields, "lamp")
	router.expect("5", "NONE", "-", "")
}

func TestRequestIsRejectedWhenTheQueueIsFull(t *testing.T) {
	site := newSite(t, WorkerConfig{ServiceTime: time.Hour, Lanes: 1, Queue: 1, Warm: true}, nil)
	router := newRouterConn(t, site.Workers[0].Addr)
	router.send("RUN", "1", requestFields, "")
	router.send("RUN", "2", requestFields, "")
	router.send("RUN", "3", requestFields, "")
	router.expect("3", "SHED", "-", "")
	router.send("INFO", "4")
	router.expect("4", "PONG", "use=inflight:2", "")
}

func TestHangingAndFailingWorkers(t *testing.T) {
	events := make(chan Event, 16)
	site := newSite(t, WorkerConfig{Lanes: 1, Queue: 1, Warm: true}, func(e Event) { events <- e })
	worker := site.Workers[0]
	router := newRouterConn(t, worker.Addr)
	worker.FailRequests(func(id string) bool { return id == "1" })
	router.send("RUN", "1", requestFields, "")
	router.expect("1", "FAULT", "-", "")
	worker.Hang()
	router.send("NOOP", "2")
	router.send("RUN", "3", requestFields, "")
	for e := range events {
		if e.ID == "3" {
			break
		}
	}
	worker.Resume()
	router.send("NOOP", "4")
	if got, err := readArray(router.in); err != nil || got[0] == "2" {
		t.Errorf("a hanging worker: %q, %v", got, err)
	}
}

// responds reports whether a health check on a new connection gets a response within 200 ms.
func responds(port *Port) bool {
	conn, err := net.DialTimeout(port.Network, port.Addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if err := writeArray(conn, "NOOP", "1"); err != nil {
		return false
	}
	got, err := readArray(bufio.NewReader(conn))
	return err == nil && slices.Equal(got, []string{"1", "PONG", "use=inflight:0", ""})
}

func TestOnlyHealthyPortsRespond(t *testing.T) {
	cfg := WorkerConfig{Warm: true, MoreAddrs: []Address{{NetworkUnix, t.TempDir() + "/w.sock"}}}
	site := newSite(t, cfg, nil)
	for _, port := range site.Workers[0].Ports() {
		for _, mode := range Modes {
			if mode == ModeStaleSocket && port.Network != NetworkUnix {
				continue
			}
			t.Run(port.Network+" "+string(mode), func(t *testing.T) {
				if err := port.SetMode(mode); err != nil {
					t.Fatal(err)
				}
				if got, want := responds(port), mode == ModeHealthy; got != want || port.Mode() != mode {
					t.Errorf("responds: %v, want %v; its mode is %s", got, want, port.Mode())
				}
			})
		}
		if err := port.SetMode(ModeHealthy); err != nil || !responds(port) {
			t.Errorf("%s does not respond in the healthy mode: %v", port.Network, err)
		}
	}
}

func TestPortKeepsItsModeIfTheNewOneIsUnknown(t *testing.T) {
	site := newSite(t, WorkerConfig{Warm: true}, nil)
	port := site.Workers[0].Ports()[0]
	if err := port.SetMode("well"); !errors.Is(err, errUnknownMode) || port.Mode() != ModeHealthy {
		t.Errorf("%v, in mode %s", err, port.Mode())
	}
}

func TestKilledWorkerComesBackWithoutReplicas(t *testing.T) {
	site := newSite(t, WorkerConfig{Lanes: 1, Queue: 1}, nil)
	worker := site.Workers[0]
	router := newRouterConn(t, worker.Addr)
	router.send("HOLD", "1", "path="+functionKey+",count=1")
	router.expect("1", "HIT", "count=1", "")
	worker.Kill()
	if _, err := readArray(router.in); err == nil {
		t.Error("the connection is still open after the worker was killed")
	}
	if err := worker.Start(); err != nil {
		t.Fatal(err)
	}
	router = newRouterConn(t, worker.Addr)
	router.send("RUN", "2", requestFields, "")
	router.expect("2", "NONE", "-", "")
}
