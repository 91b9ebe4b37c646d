package fake

import (
	"bufio"
	"net"
	"sync"
)

// Client is a fake client: one connection by Thrift, with many requests in flight. Its methods may be called from any
// goroutine; a goroutine of its own reads responses and calls back.
type Client struct {
	conn net.Conn

	mu        sync.Mutex // guards what follows
	lastSeq   uint32
	inFlight  map[uint32]func(Response, error)
	unmatched int   // responses to no request in flight
	connErr   error // what ended the connection
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

// Close closes the connection. Requests in flight end with an error.
func (c *Client) Close() { c.conn.Close() }

// UnmatchedResponses returns how many responses came to no request in flight.
func (c *Client) UnmatchedResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unmatched
}

// RequestsInFlight returns how many requests are in flight.
func (c *Client) RequestsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

// Go sends a request. done is called once, with the response or with what ended the connection. It must not block: no
// other response is read meanwhile.
func (c *Client) Go(request Request, done func(Response, error)) {
	c.send("execute", executeArguments(&request), done)
}

// Do sends a request and blocks until its response.
func (c *Client) Do(request Request) (Response, error) {
	return wait(func(done func(Response, error)) { c.Go(request, done) })
}

// CheckHealth asks whether the router accepts requests. It blocks until the response.
func (c *Client) CheckHealth() (healthy bool, err error) {
	response, err := wait(func(done func(Response, error)) { c.send("check", noArguments(), done) })
	return response.Healthy, err
}

// wait blocks until send's callback is called, and returns what it is called with.
func wait(send func(done func(Response, error))) (response Response, err error) {
	ended := make(chan struct{})
	send(func(r Response, e error) {
		response = r
		err = e
		close(ended)
	})
	<-ended
	return response, err
}

// Interrupt cancels a request by its sequence number, the first of a client being 1. No response follows.
func (c *Client) Interrupt(seq uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, seq)
	c.conn.Write(encodeMessage(messageOneway, "interrupt", 0, interruptArguments(seq)))
}

// GoInHalves sends the first half of a request, and the rest when the function that it returns is called. Nothing else
// may be sent in between. It calls done as Go does.
func (c *Client) GoInHalves(request Request, done func(Response, error)) (rest func()) {
	var message []byte
	c.sendWith(func(whole []byte) error {
		message = whole
		_, err := c.conn.Write(whole[:len(whole)/2])
		return err
	}, "execute", executeArguments(&request), done)
	return func() { c.conn.Write(message[len(message)/2:]) }
}

// send writes a message with its arguments under the next sequence number.
func (c *Client) send(method string, arguments []byte, done func(Response, error)) {
	c.sendWith(func(message []byte) error {
		_, err := c.conn.Write(message)
		return err
	}, method, arguments, done)
}

// sendWith has write send a message with its arguments under the next sequence number.
func (c *Client) sendWith(write func(message []byte) error, method string, arguments []byte, done func(Response, error)) {
	c.mu.Lock()
	if err := c.connErr; err != nil {
		c.mu.Unlock()
		done(Response{}, err)
		return
	}
	c.lastSeq++
	c.inFlight[c.lastSeq] = done
	err := write(encodeMessage(messageCall, method, c.lastSeq, arguments))
	c.mu.Unlock()
	if err != nil {
		c.conn.Close() // read ends all requests in flight
	}
}

// read delivers responses until the connection ends, and then an error to all requests in flight.
func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		seq, response, err := readResponse(in)
		if err != nil {
			c.fail(err)
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

func (c *Client) fail(err error) {
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
