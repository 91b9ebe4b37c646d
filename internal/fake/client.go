package fake

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"
)

// Call is a request as a client words it.
type Call struct {
	Class string
	ID    string // 16 hex digits
	Key   string // of the function, 16 hex digits
	Wait  time.Duration
	Props string // of the function, as name:value;name:value
	Body  []byte

	Tenant string   // left out if empty
	Once   string   // the idempotency key, left out if empty
	More   []string // further fields, a name and a value in turn
}

// fields returns the fields of the request, a name and a value in turn.
func (c *Call) fields() []string {
	fields := []string{"class", c.Class, "id", c.ID, "wait", strconv.FormatInt(c.Wait.Milliseconds(), 10), "key", c.Key}
	for _, optional := range []struct{ name, value string }{{"props", c.Props}, {"tenant", c.Tenant}, {"once", c.Once}} {
		if optional.value != "" {
			fields = append(fields, optional.name, optional.value)
		}
	}
	return append(fields, c.More...)
}

// ResponseStatus is how a router answered a request.
type ResponseStatus = string

// Verdicts, in the words of the platform.
const (
	Served   ResponseStatus = "served"
	Rejected ResponseStatus = "refused" // it never ran: trying again is harmless
	Failed   ResponseStatus = "failed"  // it may have run
)

// Response is a router's response.
type Response struct {
	Status     ResponseStatus
	Body       []byte
	RetryAfter time.Duration // of a rejected request: how long to stay away
	Healthy    bool          // in response to a health check
}

// Client is a fake client: one connection by Thrift, with many requests in flight.
type Client struct {
	conn net.Conn

	mu       sync.Mutex
	lastSeq  uint32
	inFlight map[uint32]func(Response, error)
	extra    int   // responses to no request in flight
	broken   error // what ended the connection
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

// Extra returns how many responses came to no request in flight.
func (c *Client) Extra() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extra
}

// Open returns how many requests are in flight.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

// Go sends a request. done is called once, with the response or with what ended the connection.
func (c *Client) Go(call Call, done func(Response, error)) {
	c.send("execute", executeArguments(&call), done)
}

// Do sends a request and waits for its response.
func (c *Client) Do(call Call) (Response, error) {
	return wait(func(done func(Response, error)) { c.Go(call, done) })
}

// Check asks whether the router accepts requests.
func (c *Client) Check() (healthy bool, err error) {
	answer, err := wait(func(done func(Response, error)) { c.send("check", noArguments(), done) })
	return answer.Healthy, err
}

// wait returns what send's callback is called with.
func wait(send func(done func(Response, error))) (answer Response, err error) {
	ended := make(chan struct{})
	send(func(a Response, e error) {
		answer = a
		err = e
		close(ended)
	})
	<-ended
	return answer, err
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
func (c *Client) GoInHalves(call Call, done func(Response, error)) (rest func()) {
	var message []byte
	c.sendBy(func(whole []byte) error {
		message = whole
		_, err := c.conn.Write(whole[:len(whole)/2])
		return err
	}, "execute", executeArguments(&call), done)
	return func() { c.conn.Write(message[len(message)/2:]) }
}

// send writes a message with its arguments under the next sequence number.
func (c *Client) send(method string, arguments []byte, done func(Response, error)) {
	c.sendBy(func(message []byte) error {
		_, err := c.conn.Write(message)
		return err
	}, method, arguments, done)
}

// sendBy has write send a message with its arguments under the next sequence number.
func (c *Client) sendBy(write func(message []byte) error, method string, arguments []byte, done func(Response, error)) {
	c.mu.Lock()
	if err := c.broken; err != nil {
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
		seq, answer, err := readAnswer(in)
		if err != nil {
			c.fail(err)
			return
		}
		c.deliver(seq, answer)
	}
}

func (c *Client) deliver(seq uint32, answer Response) {
	c.mu.Lock()
	done := c.inFlight[seq]
	delete(c.inFlight, seq)
	if done == nil {
		c.extra++
	}
	c.mu.Unlock()
	if done != nil {
		done(answer, nil)
	}
}

func (c *Client) fail(err error) {
	c.conn.Close()
	c.mu.Lock()
	inFlight := c.inFlight
	c.inFlight = map[uint32]func(Response, error){}
	c.broken = err
	c.mu.Unlock()
	for _, done := range inFlight {
		done(Response{}, err)
	}
}
