package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

// listenLoopback listens on a free port of the loopback interface until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serveConnections accepts connections until the listener is closed, and calls serve for each on its own goroutine.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// serveCommands accepts connections until the listener is closed, and calls handle for each command that arrives.
func serveCommands(listener net.Listener, handle func(c net.Conn, words []string)) {
	serveConnections(listener, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			words, err := readWords(in)
			if err != nil {
				return
			}
			handle(c, words)
		}
	})
}

// encodeWords encodes a RESP array of bulk strings.
func encodeWords(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// readWords reads a RESP array of bulk strings.
func readWords(in *bufio.Reader) (words []string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	for range n {
		if line, err = in.ReadString('\n'); err != nil {
			return nil, err
		}
		size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
		b := make([]byte, size+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}
