package fake

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Call is a call as a client words it.
type Call struct {
	Class string
	ID    string // 16 hex digits
	Key   string // 16 hex digits
	Wait  time.Duration
	Props string
	Body  []byte

	Tenant, Once string   // "": not told
	More         []string // further fields, a name and a value in turn
}

// Answer is what a router answered.
type Answer struct {
	Verdict string // served, refused or failed
	Body    []byte
	After   time.Duration // refused: how long to stay away
	Good    bool          // as the router says of it
}

// Client is a stand-in client: one connection by Thrift with many calls open.
type Client struct {
	c      net.Conn
	mu     sync.Mutex
	seq    uint32
	open   map[uint32]func(Answer, error)
	extra  int // answers to no open call
	broken error
}

// Dial connects to a router.
func Dial(addr string) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Client{c: c, open: map[uint32]func(Answer, error){}}
	go k.read()
	return k, nil
}

// Close gives up all that is open.
func (k *Client) Close() { k.c.Close() }

// Extra is how many answers came that no open call was owed.
func (k *Client) Extra() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.extra
}

// Open is how many calls are owed an answer.
func (k *Client) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open)
}

// Go sends a call; done is called once, with its answer or with what ended the connection.
func (k *Client) Go(call Call, done func(Answer, error)) {
	fields := []string{"class", call.Class, "id", call.ID, "wait", strconv.FormatInt(call.Wait.Milliseconds(), 10), "key", call.Key}
	if call.Props != "" {
		fields = append(fields, "props", call.Props)
	}
	if call.Tenant != "" {
		fields = append(fields, "tenant", call.Tenant)
	}
	if call.Once != "" {
		fields = append(fields, "once", call.Once)
	}
	fields = append(fields, call.More...)
	args := []byte{13, 0, 1, 11, 11, 0, 0, 0, byte(len(fields) / 2)}
	for _, s := range fields {
		args = appendText(args, s)
	}
	k.send("execute", append(appendText(append(args, 11, 0, 2), string(call.Body)), 0), done)
}

// Check asks whether the router takes calls.
func (k *Client) Check() (good bool, err error) {
	ended := make(chan struct{})
	k.send("check", []byte{0}, func(a Answer, e error) {
		good, err = a.Good, e
		close(ended)
	})
	<-ended
	return good, err
}

// Interrupt takes a call back, by the number under which it was sent; no answer follows.
func (k *Client) Interrupt(seq uint32) {
	b := appendText([]byte{0, 0, 0, 0, 0x80, 1, 0, 4}, "interrupt")
	b = append(binary.BigEndian.AppendUint32(b, 0), 8, 0, 1)
	b = append(binary.BigEndian.AppendUint32(b, seq), 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, seq)
	k.c.Write(b)
}

func appendText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// send writes a message with its arguments under the next number.
func (k *Client) send(name string, args []byte, done func(Answer, error)) {
	b := appendText([]byte{0, 0, 0, 0, 0x80, 1, 0, 1}, name)
	at := len(b)
	b = append(append(b, 0, 0, 0, 0), args...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	k.mu.Lock()
	if err := k.broken; err != nil {
		k.mu.Unlock()
		done(Answer{}, err)
		return
	}
	k.seq++
	binary.BigEndian.PutUint32(b[at:], k.seq)
	k.open[k.seq] = done
	_, err := k.c.Write(b)
	k.mu.Unlock()
	if err != nil {
		k.c.Close() // read tells all that are open
	}
}

// Do sends a call and waits for its answer.
func (k *Client) Do(call Call) (a Answer, err error) {
	ended := make(chan struct{})
	k.Go(call, func(got Answer, e error) {
		a, err = got, e
		close(ended)
	})
	<-ended
	return a, err
}

func (k *Client) read() {
	in, err := bufio.NewReader(k.c), error(nil)
	for err == nil {
		var head [4]byte
		if _, err = io.ReadFull(in, head[:]); err != nil {
			break
		}
		size := binary.BigEndian.Uint32(head[:])
		if size > 1<<20 {
			err = fmt.Errorf("an answer of %d bytes", size)
			break
		}
		frame := make([]byte, size)
		if _, err = io.ReadFull(in, frame); err != nil {
			break
		}
		var seq uint32
		var a Answer
		if seq, a, err = parseAnswer(frame); err != nil {
			break
		}
		k.mu.Lock()
		done := k.open[seq]
		delete(k.open, seq)
		if done == nil {
			k.extra++
		}
		k.mu.Unlock()
		if done != nil {
			done(a, nil)
		}
	}
	k.c.Close()
	k.mu.Lock()
	open := k.open
	k.open, k.broken = map[uint32]func(Answer, error){}, err
	k.mu.Unlock()
	for _, done := range open {
		done(Answer{}, err)
	}
}

var errAnswer = errors.New("an answer that can't be read")

// parseAnswer reads the reply to execute, as the router words it.
func parseAnswer(b []byte) (seq uint32, a Answer, err error) {
	take := func(n int) []byte {
		if n < 0 || n > len(b) {
			err = errAnswer
			return make([]byte, max(min(n, 64), 4))
		}
		out := b[:n]
		b = b[n:]
		return out
	}
	text := func() []byte { return take(int(binary.BigEndian.Uint32(take(4)))) }
	version := binary.BigEndian.Uint32(take(4))
	text()
	seq = binary.BigEndian.Uint32(take(4))
	if version&0xff == 3 {
		return seq, Answer{Verdict: "failed"}, err
	}
	field := take(3)
	if err != nil || field[0] != 12 {
		return seq, a, errAnswer
	}
	a.Verdict = map[uint16]string{0: "served", 1: "refused", 2: "failed"}[binary.BigEndian.Uint16(field[1:])]
	for err == nil {
		typ := take(1)[0]
		if typ == 0 {
			break
		}
		take(2)
		switch typ {
		case 2:
			a.Good = take(1)[0] == 1
		case 11:
			a.Body = append([]byte(nil), text()...)
		case 13:
			take(2)
			for range min(binary.BigEndian.Uint32(take(4)), 64) {
				name, value := string(text()), string(text())
				if ms, e := strconv.Atoi(value); name == "after" && e == nil {
					a.After = time.Duration(ms) * time.Millisecond
				}
			}
		default:
			err = errAnswer
		}
	}
	return seq, a, err
}
