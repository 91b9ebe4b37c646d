package eventloop_test

import (
	"io"
	"net"
	"testing"
	"time"

	"crankhold/internal/eventloop"
)

// splitEcho writes back what it receives, in two buffers.
type splitEcho struct{ conn *eventloop.Conn }

func (p *splitEcho) Data(data []byte)                       { p.conn.Write(data[:1], data[1:]) }
func (p *splitEcho) Closed(error)                           {}
func (p *splitEcho) Busy() bool                             { return false }
func (p *splitEcho) Buffered() int                          { return 0 }
func (p *splitEcho) Messages() (complete int, partial bool) { return 1, false }

// BenchmarkRoundTrip sends a message over loopback and waits until it is echoed.
func BenchmarkRoundTrip(b *testing.B) {
	loop := eventloop.New(eventloop.Config{MaxAccepted: 10, MaxDescriptors: 256, MaxQueuedBytes: 1 << 20, MaxUnreadBytes: 1 << 20})
	loop.Listen("127.0.0.1:0", func(c *eventloop.Conn) eventloop.AcceptedHandler { return &splitEcho{conn: c} })
	if err := loop.Start(); err != nil {
		b.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		loop.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Second })
		loop.Close()
	}()
	client, err := net.Dial("tcp", loop.Addrs()[0])
	if err != nil {
		b.Fatal(err)
	}
	message := make([]byte, 1000)
	response := make([]byte, len(message))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(client, response); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	loop.Post(loop.Stop)
	<-stopped
}
