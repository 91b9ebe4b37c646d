package benchmark

import (
	"bufio"
	"io"
	"math"
	"strings"
	"sync"
)

// eventRoutesReloaded is the log event with which a router reports that it has replaced its routes.
const eventRoutesReloaded = "routes_reloaded"

// maxUnreadEvents is how many unread events of one name are kept. Further ones are dropped.
const maxUnreadEvents = 1000

// routerLog holds what a router has logged so far. One goroutine adds lines; any goroutine may read.
type routerLog struct {
	mu     sync.Mutex
	lines  []string
	events map[string]chan struct{} // by event name; receives one value for each line
}

func newRouterLog() *routerLog { return &routerLog{events: map[string]chan struct{}{}} }

// readFrom adds all lines of the router's output. It blocks until the output ends.
func (l *routerLog) readFrom(output io.Reader) {
	in := bufio.NewScanner(output)
	for in.Scan() {
		l.add(in.Text())
	}
}

// add keeps a line and notifies the goroutine that waits for its event.
func (l *routerLog) add(line string) {
	l.mu.Lock()
	l.lines = append(l.lines, line)
	l.mu.Unlock()
	name, ok := logAttribute(line, "event")
	if !ok {
		return
	}
	select {
	case l.event(name) <- struct{}{}:
	default:
	}
}

// event returns a channel that receives a value for each line with the named event.
func (l *routerLog) event(name string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events[name]
	if events == nil {
		events = make(chan struct{}, maxUnreadEvents)
		l.events[name] = events
	}
	return events
}

// joined returns the log on one line.
func (l *routerLog) joined() string { return l.tail(math.MaxInt, "; ") }

// lastLines returns the last lines of the log, for error messages.
func (l *routerLog) lastLines() string { return l.tail(5, "\n") }

// tail returns the last n lines, joined by a separator.
func (l *routerLog) tail(n int, separator string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines[len(l.lines)-min(n, len(l.lines)):], separator)
}

// counter returns the value of attribute name in the last line that has both this attribute and lineWith. It returns an
// empty string if there is no such line.
func (l *routerLog) counter(lineWith, name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.lines) - 1; i >= 0; i-- {
		if _, ok := logAttribute(l.lines[i], lineWith); !ok {
			continue
		}
		if value, ok := logAttribute(l.lines[i], name); ok {
			return value
		}
	}
	return ""
}

// logAttribute returns the value of an attribute in a line of the log. The value must not contain blanks.
func logAttribute(line, name string) (value string, ok bool) {
	_, rest, ok := strings.Cut(line, " "+name+"=")
	if !ok {
		return "", false
	}
	value, _, _ = strings.Cut(rest, " ")
	return value, true
}
