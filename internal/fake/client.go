package fake

import (
	"bufio"
	"net"
	"sync"
)

// Client is a fake client: one Thrift connection with any number of requests in flight. Its methods may be called from
// any goroutine. The client has its own goroutine, which reads responses and calls the callbacks.
type Client struct {
	conn net.Conn

	mu        sync.Mutex // guards the fields below
	lastSeq   uint32
	inFlight  map[uint32]func(Response, error) // callbacks by sequence number
	unmatched int                              // number of responses that match no request in flight
	connErr   error                            // why the connection was closed, or nil
}

// Dial connects to a router.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, inFlight: map[uint32]func(Response, error){}}
	go c.read()
	return c, nil
}

// Close closes the connection. Requests in flight complete with an error.
func (c *Client) Close() { c.conn.Close() }

// UnmatchedResponses returns the number of responses that matched no request in flight.
func (c *Client) UnmatchedResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unmatched
}

// RequestsInFlight returns the number of requests in flight.
func (c *Client) RequestsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

// Go sends a request. It calls done once, with the response or with the error that closed the connection. done must not
// block, because no other response is read until it returns.
func (c *Client) Go(request Request, done func(Response, error)) {
	c.send("execute", executeArguments(&request), done)
}

// Do sends a request and blocks until the response arrives.
func (c *Client) Do(request Request) (Response, error) {
	return waitForResponse(func(done func(Response, error)) { c.Go(request, done) })
}

// CheckHealth asks whether the router accepts requests. It blocks until the response arrives.
func (c *Client) CheckHealth() (healthy bool, err error) {
	response, err := waitForResponse(func(done func(Response, error)) { c.send("check", noArguments(), done) })
	return response.Healthy, err
}

// waitForResponse calls send, blocks until the callback is called, and returns the callback's arguments.
func waitForResponse(send func(done func(Response, error))) (response Response, err error) {
	completed := make(chan struct{})
	send(func(r Response, e error) {
		response = r
		err = e
		close(completed)
	})
	<-completed
	return response, err
}

// Interrupt cancels the request with the given sequence number. The first request of a client has number 1. There is no
// response to the canceled request.
func (c *Client) Interrupt(seq uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, seq)
	c.conn.Write(encodeMessage(messageOneway, "interrupt", 0, interruptArguments(seq)))
}

// GoInHalves sends the first half of a request. The function that it returns sends the rest. Nothing else may be sent
// in between. Like Go, GoInHalves calls done once.
func (c *Client) GoInHalves(request Request, done func(Response, error)) (rest func()) {
	var message []byte
	c.sendVia(func(whole []byte) error {
		message = whole
		_, err := c.conn.Write(whole[:len(whole)/2])
		return err
	}, "execute", executeArguments(&request), done)
	return func() { c.conn.Write(message[len(message)/2:]) }
}

// send writes a message with the next sequence number.
func (c *Client) send(method string, args []byte, done func(Response, error)) {
	c.sendVia(func(message []byte) error {
		_, err := c.conn.Write(message)
		return err
	}, method, args, done)
}

// sendVia encodes a message with the next sequence number and calls write to send it.
func (c *Client) sendVia(write func(message []byte) error, method string, args []byte, done func(Response, error)) {
	c.mu.Lock()
	if err := c.connErr; err != nil {
		c.mu.Unlock()
		done(Response{}, err)
		return
	}
	c.lastSeq++
	c.inFlight[c.lastSeq] = done
	err := write(encodeMessage(messageCall, method, c.lastSeq, args))
	c.mu.Unlock()
	if err != nil {
		c.conn.Close() // read then fails all requests in flight
	}
}

// read delivers responses until reading fails, and then delivers the error to all requests in flight.
func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		seq, response, err := readResponse(in)
		if err != nil {
			c.failAll(err)
			return
		}
		c.deliver(seq, response)
	}
}

func (c *Client) deliver(seq uint32, response Response) {
	c.mu.Lock()
	done := c.inFlight[seq]
	delete(c.inFlight, seq)
	if done == nil {
		c.unmatched++
	}
	c.mu.Unlock()
	if done != nil {
		done(response, nil)
	}
}

func (c *Client) failAll(err error) {
	c.conn.Close()
	c.mu.Lock()
	inFlight := c.inFlight
	c.inFlight = map[uint32]func(Response, error){}
	c.connErr = err
	c.mu.Unlock()
	for _, done := range inFlight {
		done(Response{}, err)
	}
}
