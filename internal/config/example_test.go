package config_test

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"strings"

	"crankhold/internal/config"
)

// document is a configuration as the platform gives it to a router, without the settings that have defaults.
const document = `{
	"name": "router-1", "listen": "127.0.0.1:10080", "seed": "8c1f30d27a5be964", "names": "127.0.0.1:1053",
	"limits": {"memory_mb": 96, "sockets": 384},
	"settings": {"classes": [{"name": "repair-order", "deadlineMs": 3000, "goalTimeMs": 1200, "semantics": "unsafe"}]}
}`

func Example() {
	dir, err := os.MkdirTemp("", "crankhold-example-")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "config.json")
	getenv := func(name string) string {
		if name == "EDGE_CONFIG" {
			return file
		}
		return ""
	}

	write(file, document)
	cfg, err := config.Read(getenv)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(cfg.Name, "listens on", cfg.Listen)
	fmt.Println("classes:", cfg.ClassNames())
	fmt.Println("connections:", cfg.MaxClientConnections(), "of clients,", cfg.MaxWorkerConnections(), "to workers")
	fmt.Println("open requests:", cfg.MaxConcurrentRequests())

	// The error for an invalid field holds the names of the file and the field.
	write(file, strings.Replace(document, "127.0.0.1:10080", "nowhere", 1))
	_, err = config.Read(getenv)
	var fieldError *config.FieldError
	if errors.As(err, &fieldError) {
		fmt.Println("unusable field:", fieldError.Field)
	}
	// Output:
	// router-1 listens on 127.0.0.1:10080
	// classes: [repair-order]
	// connections: 128 of clients, 224 to workers
	// open requests: 3072
	// unusable field: listen
}

func write(file, text string) {
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		log.Fatal(err)
	}
}
