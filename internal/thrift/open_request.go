package thrift

import (
	"crankhold/internal/router"
	"crankhold/policy"
)

// openRequest is a request whose response is owed.
type openRequest struct {
	connection      *connection
	sequence        uint32
	id              policy.RequestID // once the core has accepted it
	responseSettled bool             // the response was given, or is no longer owed
}

// Respond writes the response. A client that has left, or has interrupted the request, is owed none.
func (r *openRequest) Respond(response router.Response) {
	if r.responseSettled {
		return
	}
	r.responseSettled = true
	delete(r.connection.open, r.sequence)
	r.connection.transport.Write(encodeResponse(r.sequence, response)...)
}

// cancel notifies the core that nobody waits for the response.
func (r *openRequest) cancel() {
	delete(r.connection.open, r.sequence)
	if r.responseSettled {
		return
	}
	r.responseSettled = true
	front := r.connection.front
	front.core.CancelRequest(front.clock.Now(), r.id)
}
