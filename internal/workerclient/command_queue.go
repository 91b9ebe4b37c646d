package workerclient

import "time"

// commandQueue holds the commands that were given to one connection and have no result yet. Those that are queued wait
// for the connection's dial, in the order in which they were added. Every queued command is in flight too.
type commandQueue struct {
	inFlight     map[string]*command // by id
	queued       []*command
	requestCount int       // requests in flight
	recentIDs    idHistory // of requests that were written and are no longer in flight
}

func newCommandQueue() commandQueue {
	return commandQueue{inFlight: map[string]*command{}}
}

// add puts a command in flight.
func (q *commandQueue) add(cmd *command) {
	q.inFlight[cmd.id] = cmd
	if cmd.request() != nil {
		q.requestCount++
	}
}

// enqueue queues a command that is in flight until the dial completes.
func (q *commandQueue) enqueue(cmd *command) { q.queued = append(q.queued, cmd) }

// takeQueued empties the queue and returns the commands that were queued, which stay in flight.
func (q *commandQueue) takeQueued() []*command {
	queued := q.queued
	q.queued = nil
	return queued
}

// dequeue removes a command that waits for the dial. It ignores any other command.
func (q *commandQueue) dequeue(cmd *command) {
	for i, queued := range q.queued {
		if queued == cmd {
			q.queued = append(q.queued[:i], q.queued[i+1:]...)
			q.remove(cmd)
			return
		}
	}
}

// remove removes a command from those in flight, if it is among them. The id of a request that was written is
// remembered, because it must not be used on this connection again.
func (q *commandQueue) remove(cmd *command) {
	if q.inFlight[cmd.id] != cmd {
		return
	}
	delete(q.inFlight, cmd.id)
	if cmd.request() == nil {
		return
	}
	q.requestCount--
	if cmd.sendState.written {
		q.recentIDs.add(cmd.id)
	}
}

// clear removes all commands.
func (q *commandQueue) clear() {
	clear(q.inFlight)
	q.queued = nil
	q.requestCount = 0
}

// empty reports whether nothing is in flight.
func (q *commandQueue) empty() bool { return len(q.inFlight) == 0 }

// has reports whether a command with that id is in flight.
func (q *commandQueue) has(id string) bool { return q.inFlight[id] != nil }

// acceptsRequest reports whether a request with that id may be added. limit is the maximum number of requests in
// flight.
func (q *commandQueue) acceptsRequest(id string, limit int) bool {
	return q.requestCount < limit && !q.recentIDs.has(id) && !q.recentIDs.full()
}

// oldestRequest returns the time at which the request that has awaited its response for longest was written. found is
// false if no request awaits a response.
func (q *commandQueue) oldestRequest() (sentAt time.Duration, found bool) {
	for _, cmd := range q.inFlight {
		if cmd.request() == nil || !cmd.sendState.written {
			continue
		}
		if !found || cmd.sendState.sentAt < sentAt {
			sentAt = cmd.sendState.sentAt
			found = true
		}
	}
	return sentAt, found
}

// sortedInFlight returns the commands in flight in a fixed order.
func (q *commandQueue) sortedInFlight() []*command {
	commands := make([]*command, 0, len(q.inFlight))
	for _, cmd := range q.inFlight {
		commands = append(commands, cmd)
	}
	sortByID(commands)
	return commands
}
