// Command toy stands in for what a function router talks to, so that a newcomer can try one on a
// single machine: a directory, two workers that answer at once, and a client.
//
//	toy           serve as the directory and the workers
//	toy call      send one call by Thrift and print the answer
//	toy hook ID   send one repair-order as a signed webhook with that webhook-id
package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/fake"
)

const (
	directory = "127.0.0.1:1053"
	front     = "127.0.0.1:10080"
	hooks     = "http://127.0.0.1:10090/hooks"
	keyFile   = "example/hook.key"
	key       = "7f3a9c21e0b4d655"
)

var workers = []string{"127.0.0.1:10181", "127.0.0.1:10182"} // as in example/config.json

func main() {
	log.SetFlags(0)
	var err error
	switch args := os.Args[1:]; {
	case len(args) == 0:
		err = serve()
	case args[0] == "call":
		err = call()
	case args[0] == "hook" && len(args) == 2:
		err = hook(args[1])
	default:
		err = fmt.Errorf("usage: toy [call | hook ID]")
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// serve goes on until it is interrupted. Every function counts as loaded.
func serve() error {
	var configs []fake.WorkerConfig
	for i, addr := range workers {
		configs = append(configs, fake.WorkerConfig{Name: fmt.Sprintf("s-%d", i+1), Addr: addr, Kind: "std", Zone: "here", Warm: true, Lanes: 4, Queue: 32})
	}
	site, err := fake.NewSite(directory, configs, func(e fake.Event) {
		log.Printf("%s: %s %s %s %s", e.Worker.Name, e.What, e.Class, e.Key, e.ID)
	})
	if err != nil {
		return err
	}
	defer site.Close()
	log.Printf("directory on %s, workers on %s", directory, strings.Join(workers, " and "))
	select {}
}

func call() error {
	c, err := fake.Dial(front)
	if err != nil {
		return err
	}
	defer c.Close()
	a, err := c.Do(fake.Call{Class: "dim-level", ID: fmt.Sprintf("%016x", rand.Uint64()), Key: key, Wait: 1500 * time.Millisecond,
		Props: "memory_mb:512;lanes:2;load_ms:640", Body: []byte("lamp 17 to 40%")})
	if err == nil {
		fmt.Printf("%s %q\n", a.Verdict, a.Body)
	}
	return err
}
func hook(id string) error {
	text, err := os.ReadFile(keyFile)
	if err != nil {
		return err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(strings.TrimSpace(string(text)), "whsec_"))
	if err != nil {
		return err
	}
	// The event's time stays the same over redeliveries: here it is the start of the hour.
	body := fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":"repair-order","key":%q,"wait_ms":1500,`+
		`"memory_mb":512,"lanes":1,"load_ms":640,"body":%q}}`, time.Now().UTC().Truncate(time.Hour).Format(time.RFC3339), key,
		base64.StdEncoding.EncodeToString([]byte("lamp 17 is dark")))
	stamp := strconv.FormatInt(time.Now().Unix(), 10)
	mac := hmac.New(sha256.New, secret)
	io.WriteString(mac, id+"."+stamp+"."+body)
	req, err := http.NewRequest("POST", hooks, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("webhook-id", id)
	req.Header.Set("webhook-timestamp", stamp)
	req.Header.Set("webhook-signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	got, err := io.ReadAll(r.Body)
	fmt.Printf("%s %q %s\n", r.Status, got, r.Header.Get("Retry-After"))
	return err
}
