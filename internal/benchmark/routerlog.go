package benchmark

import (
	"bufio"
	"io"
	"math"
	"strings"
	"sync"
)

// eventRoutesReloaded is the log event by which a router reports that it has replaced its routes.
const eventRoutesReloaded = "routes_reloaded"

// maxUnreadEvents bounds how many events of a name wait to be read; further ones are dropped.
const maxUnreadEvents = 1000

// routerLog is what a router has logged so far. A goroutine of the router's process adds lines; any goroutine reads.
type routerLog struct {
	mu     sync.Mutex
	lines  []string
	events map[string]chan struct{} // by the event's name, one value per line
}

func newRouterLog() *routerLog { return &routerLog{events: map[string]chan struct{}{}} }

// readFrom adds all lines of a router's output. It blocks until the output ends.
func (l *routerLog) readFrom(output io.Reader) {
	in := bufio.NewScanner(output)
	for in.Scan() {
		l.add(in.Text())
	}
}

// add keeps a line and notifies whoever waits for its event.
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

// event returns the channel that has a value for each line with an event.
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

// lastLines returns the end of the log, for errors.
func (l *routerLog) lastLines() string { return l.tail(5, "\n") }

// tail returns the last n lines.
func (l *routerLog) tail(n int, separator string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines[len(l.lines)-min(n, len(l.lines)):], separator)
}

// counter returns an attribute of the last line that has it and another attribute, or an empty string.
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

// logAttribute returns the value of an attribute, without blanks, in a line of the log.
func logAttribute(line, name string) (value string, ok bool) {
	_, rest, ok := strings.Cut(line, " "+name+"=")
	if !ok {
		return "", false
	}
	value, _, _ = strings.Cut(rest, " ")
	return value, true
}
