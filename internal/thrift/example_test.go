package thrift_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/thrift"
	"crankhold/policy"
)

// upperCaseCore takes the place of the router and its workers. It serves each request at once.
type upperCaseCore struct{}

func (upperCaseCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	fmt.Printf("accepted request %s for function %s\n", r.ID, r.Function.Key)
	r.Responder.Respond(router.Response{Status: router.Served, Body: bytes.ToUpper(r.Body)})
	return 1
}

func (upperCaseCore) RejectAtCapacity(_ time.Duration, r router.Request) {
	r.Responder.Respond(router.Response{Status: router.Rejected})
}

func (upperCaseCore) CancelRequest(time.Duration, policy.RequestID) {}

// A client sends an execute and reads the reply. Both are encoded and decoded byte by byte to show the protocol.
func ExampleFront() {
	// The front runs on an event loop, in this example on any free port.
	loop := eventloop.New(eventloop.Config{MaxAccepted: 10, MaxDescriptors: 1024})
	ready := func() bool { return true }
	front := thrift.New(upperCaseCore{}, thrift.Config{Classes: []thrift.Class{{Name: "dim-level"}}}, loop, ready)
	loop.Listen("127.0.0.1:0", front.Accept)
	check(loop.Start())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		loop.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Second })
		loop.Close()
	}()

	// The message's header: the version, the kind "call", the method, and a sequence number.
	message := []byte{0x80, 0x01, 0x00, 1}
	message = appendText(message, "execute")
	message = append(message, 0, 0, 0, 7)
	// The first argument: a map (type 13) from strings to strings (type 11), with 4 entries.
	message = append(message, 13, 0, 1, 11, 11, 0, 0, 0, 4)
	for _, text := range []string{"class", "dim-level", "id", "9b1f03aa5c7e2d41", "key", "7f3a9c21e0b4d655", "wait", "1500"} {
		message = appendText(message, text)
	}
	// The second argument: the body, a string. A zero ends the arguments.
	message = append(message, 11, 0, 2)
	message = appendText(message, "hello")
	message = append(message, 0)

	// A frame consists of a length and a message.
	client, err := net.Dial("tcp", loop.Addrs()[0])
	check(err)
	_, err = client.Write(appendText(nil, string(message)))
	check(err)
	length := make([]byte, 4)
	_, err = io.ReadFull(client, length)
	check(err)
	reply := make([]byte, binary.BigEndian.Uint32(length))
	_, err = io.ReadFull(client, reply)
	check(err)

	// The reply repeats the method and the sequence number. The result's field 0 is the struct Answer, whose field 1 is
	// the body.
	kind, reply := reply[3], reply[4:]
	method, reply := cutText(reply)
	sequence, reply := binary.BigEndian.Uint32(reply), reply[4:]
	field, reply := binary.BigEndian.Uint16(reply[1:]), reply[3:]
	body, _ := cutText(reply[3:])
	fmt.Printf("kind %d, method %s, sequence %d, field %d, body %s\n", kind, method, sequence, field, body)

	check(client.Close())
	loop.Post(loop.Stop)
	<-stopped

	// Output:
	// accepted request 9b1f03aa5c7e2d41 for function 7f3a9c21e0b4d655
	// kind 2, method execute, sequence 7, field 0, body HELLO
}

// appendText appends a string in Thrift's encoding: its length in four bytes, then its bytes.
func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// cutText decodes a string at the start of b and returns it with the remaining bytes.
func cutText(b []byte) (text string, rest []byte) {
	length := binary.BigEndian.Uint32(b)
	return string(b[4 : 4+length]), b[4+length:]
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
