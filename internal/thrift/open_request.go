package thrift

import (
	"crankhold/internal/router"
	"crankhold/policy"
)

// openRequest is a request that has no response yet.
type openRequest struct {
	connection      *connection
	sequence        uint32
	id              policy.RequestID // set when the core has accepted the request
	responseSettled bool             // the response was written, or the request was canceled
}

// Respond writes the response, unless the client has disconnected or canceled the request.
func (r *openRequest) Respond(response router.Response) {
	if r.responseSettled {
		return
	}
	r.responseSettled = true
	delete(r.connection.open, r.sequence)
	r.connection.transport.Write(encodeResponse(r.sequence, response)...)
}

// cancel removes the request and notifies the core that its client no longer waits for the response.
func (r *openRequest) cancel() {
	delete(r.connection.open, r.sequence)
	if r.responseSettled {
		return
	}
	r.responseSettled = true
	front := r.connection.front
	front.core.CancelRequest(front.clock.Now(), r.id)
}
