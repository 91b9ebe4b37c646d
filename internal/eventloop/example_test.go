package eventloop_test

import (
	"fmt"
	"io"
	"net"
	"time"

	"crankhold/internal/eventloop"
)

// echo writes back what a client sends, and then closes the connection.
type echo struct{ conn *eventloop.Conn }

func (e *echo) Data(data []byte) {
	e.conn.Write([]byte("echo: "), data)
	e.conn.CloseAfterFlush()
}
func (e *echo) Closed(error)  {}
func (e *echo) Busy() bool    { return false }
func (e *echo) Buffered() int { return 0 }

func (e *echo) Messages() (complete int, partial bool) { return 0, false }

// A server that echoes what its clients send.
func Example() {
	loop := eventloop.New(eventloop.Config{
		MaxAccepted:    10,
		MaxDescriptors: 256,
		MaxQueuedBytes: 1 << 20,
		MaxUnreadBytes: 1 << 20,
	})
	loop.Listen("127.0.0.1:0", func(c *eventloop.Conn) eventloop.AcceptedHandler { return &echo{conn: c} })
	if err := loop.Start(); err != nil {
		fmt.Println(err)
		return
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		startTurn := func(time.Duration) {}
		turn := func(now time.Duration) time.Duration { return now + time.Second }
		loop.Run(startTurn, turn)
		loop.Close()
	}()

	client, err := net.Dial("tcp", loop.Addrs()[0])
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	fmt.Fprint(client, "hello")
	response, err := io.ReadAll(client)
	fmt.Printf("%s, %v\n", response, err)

	loop.Post(loop.Stop)
	<-stopped
	// Output: echo: hello, <nil>
}
