package eventloop

import (
	"net"
	"testing"
	"time"
)

// BenchmarkConnectionsThatComeAndGo opens a connection, exchanges a byte over it, and has the loop close it. The next
// connection then gets a descriptor for which the poller may still hold an event.
func BenchmarkConnectionsThatComeAndGo(b *testing.B) {
	l := New(Config{MaxAccepted: 64, MaxDescriptors: 256, MaxQueuedBytes: 8 << 20, MaxUnreadBytes: 32 << 20})
	l.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler { return closingEcho{newEchoHandler(c, 1)} })
	if err := l.Start(); err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
		l.Close()
		close(done)
	}()
	buffer := make([]byte, 2)
	for b.Loop() {
		client, err := net.Dial("tcp", l.Addrs()[0])
		if err != nil {
			b.Fatal(err)
		}
		client.Write([]byte("x"))
		if _, err := client.Read(buffer); err != nil {
			b.Fatal(err)
		}
		client.Read(buffer) // EOF
		client.Close()
	}
	l.Post(l.Stop)
	<-done
}

// closingEcho closes its connection after it has written its response.
type closingEcho struct{ *echoHandler }

func (h closingEcho) Data(b []byte) {
	h.echoHandler.Data(b)
	h.c.CloseAfterFlush()
}
