package server_test

import (
	"fmt"
	"log"
	"os"
	"path/filepath"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/fake"
	"crankhold/internal/server"
)

// A router in front of one fake worker serves a request and then shuts down gracefully.
func Example() {
	// The site holds the router's peers: a discovery server that lists one worker, and that worker.
	site, err := fake.NewSite("127.0.0.1:0", []fake.WorkerConfig{
		{Name: "s-1", Addr: "127.0.0.1:0", Kind: "std", Zone: "here", Warm: true, Lanes: 2, Queue: 32},
	}, nil)
	if err != nil {
		log.Fatal(err)
	}
	defer site.Close()

	// The environment variable EDGE_CONFIG names the router's configuration file.
	dir, err := os.MkdirTemp("", "crankhold-example-")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	listen, err := fake.FreeAddr()
	if err != nil {
		log.Fatal(err)
	}
	if err := site.WriteConfig(path, listen); err != nil {
		log.Fatal(err)
	}
	reread := func() (*config.Config, error) {
		return config.Read(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
	}
	cfg, err := reread()
	if err != nil {
		log.Fatal(err)
	}

	// Closing stop starts a graceful shutdown. Serve returns when it has ended.
	stop := make(chan struct{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(cfg, server.Options{Stop: stop}, reread) }()

	client, err := fake.Dial(listen)
	for err != nil { // until the router listens
		time.Sleep(time.Millisecond)
		client, err = fake.Dial(listen)
	}
	response, err := client.Do(fake.Request{Class: "dim-level", ID: "0000000000000001", FunctionKey: "7f3a9c21e0b4d655", Timeout: 2 * time.Second})
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println("request:", response.Status)
	client.Close()

	close(stop)
	fmt.Println("error of Serve:", <-served)
	// Output:
	// request: served
	// error of Serve: <nil>
}
