// Command toy runs the other side of a function router, so that a newcomer can try a router on a single machine: a
// discovery server, two workers that respond at once, and a client.
//
//	toy           run the discovery server and the workers
//	toy call      send one request by Thrift and print the response
//	toy hook ID   send one repair-order as a signed webhook with that webhook-id
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"crankhold/internal/fake"
)

// Addresses and files, as in example/config.json and example/webhook.toml.
const (
	discoveryAddr = "127.0.0.1:1053"
	routerAddr    = "127.0.0.1:10080"
	webhookURL    = "http://127.0.0.1:10090/hooks"
	keyFile       = "example/hook.key"
)

// functionKey is the key of the function that is requested.
const functionKey = "7f3a9c21e0b4d655"

// workerAddrs are the addresses of the workers in example/config.json.
var workerAddrs = []string{"127.0.0.1:10181", "127.0.0.1:10182"}

func main() {
	log.SetFlags(0)
	if err := run(os.Args[1:]); err != nil {
		log.Fatal("toy: ", err)
	}
}

func run(args []string) error {
	switch {
	case len(args) == 0:
		return serve()
	case args[0] == "call":
		return sendRequest()
	case args[0] == "hook" && len(args) == 2:
		return sendWebhook(args[1])
	default:
		return errors.New("usage: toy [call | hook ID]")
	}
}

// serve starts the discovery server and the workers, and blocks until the process is interrupted. The workers have all
// functions loaded.
func serve() error {
	var workers []fake.WorkerConfig
	for i, addr := range workerAddrs {
		workers = append(workers, fake.WorkerConfig{
			Name:  fmt.Sprintf("s-%d", i+1),
			Addr:  addr,
			Kind:  "std",
			Zone:  "here",
			Warm:  true,
			Lanes: 4,
			Queue: 32,
		})
	}
	site, err := fake.NewSite(discoveryAddr, workers, func(e fake.Event) {
		log.Printf("%s: %s %s %s %s", e.Worker.Name, e.Kind, e.Class, e.FunctionKey, e.ID)
	})
	if err != nil {
		return err
	}
	defer site.Close()
	log.Printf("discovery server on %s, workers on %s", discoveryAddr, strings.Join(workerAddrs, " and "))
	select {}
}

// sendRequest sends a request by Thrift and prints the response.
func sendRequest() error {
	client, err := fake.Dial(routerAddr)
	if err != nil {
		return err
	}
	defer client.Close()
	response, err := client.Do(fake.Request{
		Class:       fake.DimLevel.Name,
		ID:          fmt.Sprintf("%016x", rand.Uint64()),
		FunctionKey: functionKey,
		Timeout:     1500 * time.Millisecond,
		Properties:  "memory_mb:512;lanes:2;load_ms:640",
		Body:        []byte("lamp 17 to 40%"),
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s %q\n", response.Status, response.Body)
	return nil
}

// sendWebhook sends a signed webhook and prints the response.
func sendWebhook(id string) error {
	key, err := fake.ReadWebhookKey(keyFile)
	if err != nil {
		return err
	}
	body, err := encodeRepairOrder()
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, webhookURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	key.Sign(request.Header, id, time.Now(), body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	fmt.Printf("%s %q %s\n", response.Status, text, response.Header.Get("Retry-After"))
	return nil
}

// encodeRepairOrder returns the body of a webhook. Its timestamp must stay the same when the webhook is delivered
// again, so it is the start of the current hour.
func encodeRepairOrder() ([]byte, error) {
	return fake.EncodeWebhook(time.Now().Truncate(time.Hour), fake.WebhookRequest{
		Class:       fake.RepairOrder.Name,
		FunctionKey: functionKey,
		TimeoutMs:   1500,
		MemoryMB:    512,
		Lanes:       1,
		LoadMs:      640,
		Body:        []byte("lamp 17 is dark"),
	})
}
