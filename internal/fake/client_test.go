package fake

import (
	"bufio"
	"net"
	"testing"
)

// Requests in flight complete with an error when their connection is closed, and so do later requests.
func TestRequestsEndWithTheirConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	router, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	completed := make(chan error, 1)
	client.Go(Request{}, func(_ Response, err error) { completed <- err })
	if _, err := bufio.NewReader(router).ReadByte(); err != nil || client.RequestsInFlight() != 1 {
		t.Fatalf("%d in flight, %v", client.RequestsInFlight(), err)
	}
	router.Close()
	if err := <-completed; err == nil {
		t.Error("a request without a response has no error")
	}
	if _, err := client.Do(Request{}); err == nil || client.RequestsInFlight() != 0 {
		t.Errorf("after the connection was closed: %v, %d in flight", err, client.RequestsInFlight())
	}
}
