package eventloop

import (
	"bytes"
	"io"
	"path/filepath"
	"testing"
	"time"
)

// Everything that is written to a Unix socket arrives, even if the peer reads slowly. nbio drops the buffers after a
// short write to a Unix socket.
func TestNothingIsLostOverASlowUnixSocket(t *testing.T) {
	l := start(t, 10, acceptSilent)
	d := newDialRecorder()
	c, peer := dialPeer(t, l, "unix", filepath.Join(t.TempDir(), "worker.sock"), d, d.opened)
	const writes = 30
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<10)
	wrote := make(chan bool)
	for range writes { // each in its own turn
		l.Post(func() {
			c.Write(body)
			l.Post(func() { wrote <- true })
		})
		<-wrote
	}
	want := bytes.Repeat(body, writes)
	got := make([]byte, len(want))
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := io.ReadFull(peer, got)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes arrived, unchanged: %v, error: %v", n, len(want), bytes.Equal(got[:n], want[:n]), err)
	}
}
