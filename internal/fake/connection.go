package fake

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Commands that a router sends to a worker.
const (
	commandRun    = "RUN"
	commandCancel = "STOP"
	commandLoad   = "HOLD"
	commandUnload = "FREE"
	commandPing   = "NOOP"
	commandInfo   = "INFO"
)

// responseWord is the first word of a worker's response.
type responseWord string

// Responses of a worker.
const (
	responseServed     responseWord = "HIT"
	responseNotLoaded  responseWord = "NONE"
	responseOverloaded responseWord = "SHED"
	responseFault      responseWord = "FAULT"
	responsePong       responseWord = "PONG"
)

// Names of the fields of commands.
const (
	fieldClass    = "queue"
	fieldFunction = "path"
	fieldCount    = "count"
)

// noFields is sent in place of the fields if a response has none.
const noFields = "-"

// connection is a router's connection to a worker, with the requests that are in flight on it. Each connection has a
// goroutine that executes its commands. Responses are written by that goroutine and by the worker's timers.
type connection struct {
	worker *Worker
	port   *Port
	conn   net.Conn

	writeMu  sync.Mutex
	inFlight map[string]*execution // by request id; guarded by the worker's lock
}

// serveConnection executes the commands of a connection. It blocks until the connection is closed.
func (w *Worker) serveConnection(port *Port, conn net.Conn) {
	c := &connection{worker: w, port: port, conn: conn, inFlight: map[string]*execution{}}
	defer c.close()
	in := bufio.NewReader(conn)
	for {
		words, err := readArray(in)
		if err != nil || len(words) < 2 {
			return
		}
		c.handle(words[0], words[1:])
	}
}

func (c *connection) close() {
	c.conn.Close()
	c.port.removeConn(c.conn)
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	for _, e := range c.inFlight {
		c.markDone(e, EventConnectionLost)
	}
}

// handle executes a command. The first argument is a request id, a function key or a tag for the response. Commands
// that are unknown or have the wrong number of arguments are ignored.
func (c *connection) handle(command string, args []string) {
	switch {
	case command == commandRun && len(args) == 3:
		c.run(args[0], args[1], args[2])
	case command == commandCancel:
		c.cancel(args[0])
	case command == commandLoad && len(args) == 2:
		c.load(args[0], args[1])
	case command == commandUnload:
		c.worker.unload(args[0])
	case command == commandPing, command == commandInfo:
		c.reportLoad(args[0])
	}
}

func (c *connection) run(id, fields, body string) {
	e := &execution{
		connection:  c,
		id:          id,
		class:       fieldValue(fields, fieldClass),
		functionKey: fieldValue(fields, fieldFunction),
		body:        body,
	}
	c.worker.mu.Lock()
	rejection, accepted := c.accept(e)
	c.worker.mu.Unlock()
	if !accepted {
		c.respond(id, rejection, noFields, "")
	}
}

// accept starts or queues a request, or returns the response that rejects it. The worker must be locked.
func (c *connection) accept(e *execution) (rejection responseWord, accepted bool) {
	w := c.worker
	r := w.replica(e.functionKey)
	if r == nil {
		e.recordEvent(EventNotLoaded)
		return responseNotLoaded, false
	}
	if len(r.waiting) >= max(w.Queue, 1) {
		e.recordEvent(EventOverloaded)
		return responseOverloaded, false
	}
	c.inFlight[e.id] = e
	w.inFlight++
	e.recordEvent(EventStarted)
	e.waitedForLoad = !r.ready
	r.waiting = append(r.waiting, e)
	w.startWaitingRequests(r)
	return "", true
}

func (c *connection) cancel(id string) {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	if e := c.inFlight[id]; e != nil {
		c.markDone(e, EventCanceled)
	}
}

// load executes a load command and responds with its tag after a replica is loaded. A command with a count of 0 only
// asks whether a replica is loaded.
func (c *connection) load(tag, fields string) {
	w := c.worker
	function := fieldValue(fields, fieldFunction)
	count, _ := strconv.Atoi(fieldValue(fields, fieldCount)) // 0 for an invalid count
	respond := func(replicas int) { c.respond(tag, responseServed, fmt.Sprintf("count=%d", replicas), "") }

	if !w.knows(function) {
		c.respond(tag, responseFault, "count=0", "")
		return
	}
	w.mu.Lock()
	r := w.replica(function)
	if count > 0 {
		w.record(Event{At: time.Now(), Worker: w, Kind: EventLoadCommand, FunctionKey: function})
	}
	if r == nil && count > 0 {
		r = w.startLoad(function)
	}
	replicas := 0
	switch {
	case r == nil:
	case r.ready:
		r.lastUsed = time.Now()
		replicas = 1
	default:
		r.onLoaded = append(r.onLoaded, func() { respond(1) })
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	respond(replicas)
}

// reportLoad responds to a health check with a load report, unless the worker hangs.
func (c *connection) reportLoad(tag string) {
	c.worker.mu.Lock()
	hanging := c.worker.hanging
	inFlight := c.worker.inFlight
	c.worker.mu.Unlock()
	if !hanging {
		c.respond(tag, responsePong, fmt.Sprintf("use=inflight:%d", inFlight), "")
	}
}

// respond writes a response, unless the address is unresponsive. Write errors are ignored, because the next read from
// the connection then fails too.
func (c *connection) respond(tag string, word responseWord, fields, body string) {
	if c.port.Mode() == ModeUnresponsive {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	writeArray(c.conn, tag, string(word), fields, body)
}

// fieldValue returns the value of a name in a comma-separated list of name=value, or an empty string.
func fieldValue(list, name string) string {
	for field := range strings.SplitSeq(list, ",") {
		if n, value, ok := strings.Cut(field, "="); ok && n == name {
			return value
		}
	}
	return ""
}
