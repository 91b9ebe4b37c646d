package webhook_test

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
	"crankhold/policy"
)

// upperCaseCore stands in for the router and its workers. It immediately responds to each request with the body in
// upper case.
type upperCaseCore struct{}

func (upperCaseCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	fmt.Printf("accepted a request for function %s of webhook %s\n", r.Function.Key, r.Client.Reference)
	r.Responder.Respond(router.Response{Status: router.Served, Body: bytes.ToUpper(r.Body)})
	return 1
}

// A receiver accepts a signed delivery, passes the request in it to the router, and responds with the result. If the
// same delivery is sent again, it gets the same response without another run.
func ExampleReceiver() {
	// The secret is shared with the sender of the webhooks.
	dir, err := os.MkdirTemp("", "webhook")
	check(err)
	defer os.RemoveAll(dir)
	secret := []byte("thirty-two bytes of a test's key")
	keyFile := filepath.Join(dir, "key")
	check(os.WriteFile(keyFile, []byte("whsec_"+base64.StdEncoding.EncodeToString(secret)), 0o600))

	// The webhook file names the key file. Without a ledger, only requests of idempotent classes are served.
	configFile := filepath.Join(dir, "webhook.toml")
	check(os.WriteFile(configFile, fmt.Appendf(nil, `
		[receiver]
		enabled = true
		listen = "127.0.0.1:9090"
		keys = [{ file = %q }]
	`, keyFile), 0o600))
	config, err := webhook.ReadConfig(configFile)
	check(err)

	// The receiver runs on an event loop. Here it listens on any free port.
	loop := eventloop.New(eventloop.Config{MaxAccepted: 10, MaxDescriptors: 1024})
	classes := []webhook.Class{{Name: "dim-level", MaxWait: 2 * time.Second}}
	receiver, err := webhook.NewReceiver(webhook.Options{
		Config:          config.Receiver,
		Core:            upperCaseCore{},
		Classes:         classes,
		MaxOutcomeBytes: 1 << 20,
		Clock:           loop,
		WallClock:       time.Now,
		Post:            loop.Post,
	})
	check(err)
	loop.Listen("127.0.0.1:0", receiver.Accept)
	check(loop.Start())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		loop.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Second })
		loop.Close()
	}()

	// A sender signs the id, the timestamp of the delivery and the body.
	const id = "msg_1"
	timestamp := fmt.Sprint(time.Now().Unix())
	body := fmt.Sprintf(`{"type": "call.requested", "timestamp": "2026-12-01T12:00:00Z",
		"data": {"class": "dim-level", "key": "7f3a9c21e0b4d655", "body": %q}}`, base64.StdEncoding.EncodeToString([]byte("hello")))
	mac := hmac.New(sha256.New, secret)
	fmt.Fprintf(mac, "%s.%s.%s", id, timestamp, body)
	signature := "v1," + base64.StdEncoding.EncodeToString(mac.Sum(nil))

	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+loop.Addrs()[0]+"/hooks", bytes.NewBufferString(body))
		check(err)
		request.Header.Set("webhook-id", id)
		request.Header.Set("webhook-timestamp", timestamp)
		request.Header.Set("webhook-signature", signature)
		response, err := http.DefaultClient.Do(request)
		check(err)
		result, err := io.ReadAll(response.Body)
		check(err)
		check(response.Body.Close())
		fmt.Println(response.Status, string(result))
	}

	loop.Post(loop.Stop)
	<-stopped
	check(receiver.Close())

	// Output:
	// accepted a request for function 7f3a9c21e0b4d655 of webhook msg_1
	// 200 OK HELLO
	// 200 OK HELLO
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
