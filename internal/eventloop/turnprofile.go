package eventloop

import (
	"log/slog"
	"slices"
	"strings"
	"time"
)

const (
	// longTurn is the length from which on a turn is logged. The protocol allows 50 ms on sockets beyond a time limit.
	longTurn = 50 * time.Millisecond
	// longTurnLogInterval is the minimum time between two log events.
	longTurnLogInterval = time.Second
)

// The parts of a turn that the loop itself runs. Further ones are those of Loop.PartEnded and
// Loop.PostNamed.
const (
	dataPart        = "data"
	acceptedPart    = "accepted"
	closedPart      = "closed"
	dialedPart      = "dialed"
	postedPart      = "posted"
	writePart       = "write"
	clientsPart     = "clients"
	maxProfileParts = 64 // of a turn; the time of further ones is added to the last
)

// partNames names the parts of a turn that handle events, by kind.
var partNames = [...]string{
	dataReceived:       dataPart,
	connectionAccepted: acceptedPart,
	connectionClosed:   closedPart,
	dialCompleted:      dialedPart,
}

// turnPart is a part of a turn and how long it took. Equal parts of a turn may have several entries.
type turnPart struct {
	name string
	took time.Duration
}

// turnProfile measures how long the parts of a turn take, and logs turns that are too long. The loop's goroutine owns
// it.
type turnProfile struct {
	clock    func() time.Duration
	logger   *slog.Logger
	markedAt time.Duration // end of the last part
	parts    []turnPart    // of the current turn
	count    int           // long turns since the last event
	loggedAt time.Duration // when the last event was logged; 0: never
}

// begin begins a turn.
func (p *turnProfile) begin(now time.Duration) {
	p.parts = p.parts[:0]
	p.markedAt = now
}

// end ends a part of the turn, which began when the part before it ended.
func (p *turnProfile) end(name string) {
	now := p.clock()
	took := now - p.markedAt
	p.markedAt = now
	last := len(p.parts) - 1
	if last >= 0 && (p.parts[last].name == name || len(p.parts) == maxProfileParts) {
		p.parts[last].took += took
		return
	}
	p.parts = append(p.parts, turnPart{name, took})
}

// endTurn logs the turn if it was too long, at most one event a second.
func (p *turnProfile) endTurn(began, ended time.Duration) {
	took := ended - began
	if took < longTurn {
		return
	}
	p.count++
	if p.loggedAt != 0 && ended-p.loggedAt <= longTurnLogInterval {
		return
	}
	p.logger.Warn("turn_was_long",
		slog.Int64("turn_us", took.Microseconds()),
		slog.String("ran", p.longestParts()),
		slog.Int("count", p.count))
	p.count = 0
	p.loggedAt = ended
}

// longestParts lists the parts that together took most of the turn, the longest first.
func (p *turnProfile) longestParts() string {
	var total time.Duration
	var parts []turnPart
	for _, part := range p.parts {
		total += part.took
		index := slices.IndexFunc(parts, func(other turnPart) bool { return other.name == part.name })
		if index < 0 {
			parts = append(parts, part)
			continue
		}
		parts[index].took += part.took
	}
	slices.SortStableFunc(parts, func(a, b turnPart) int { return int(b.took - a.took) })
	const most = 0.9
	var texts []string
	var listed time.Duration
	for _, part := range parts {
		if float64(listed) >= most*float64(total) {
			break
		}
		listed += part.took
		texts = append(texts, part.name+" "+part.took.Round(time.Microsecond).String())
	}
	return strings.Join(texts, ", ")
}
