package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:10080","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "names":"127.0.0.1:1053","known":{"offset":3,"batch":[{"offset":3,"topology":{"complete":true,"members":[]}}]},
 "settings":{"classes":[{"name":"repair-order","deadlineMs":3000,"goalTimeMs":1200,"semantics":"unsafe","group":"all"}]}}`

// readText reads a configuration from a file at path.
func readText(path, text string) (*Config, error) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return Read(func(name string) string {
		return map[string]string{"EDGE_CONFIG": path, "EDGE_NAME": "n4"}[name]
	})
}

func TestConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	read := func(text string) (*Config, error) { return readText(path, text) }
	c, err := read(goodConfig)
	if err != nil || c.Name != "n4" || c.SeedValue != 0x8c1f30d27a5be964 || c.Known.Offset != 3 ||
		c.Network.Classes[0].Name != "repair-order" || c.Network.Limits.StreamsPerConn != 32 {
		t.Errorf("read %+v, %v", c, err)
	}
	for old, new := range map[string]string{
		`"listen":"127.0.0.1:10080"`: `"listen":"nowhere"`,
		`"names":"127.0.0.1:1053"`:   `"names":""`,
		`"8c1f30d27a5be964"`:         `"seed"`,
		`"unsafe"`:                   `"maybe"`,
		`"name":"repair-order",`:     ``,
		`"sockets":1024`:             `"sockets":3`,
		`{"name":"n3"`:               `{"name":3`,
	} {
		if _, err := read(strings.Replace(goodConfig, old, new, 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", new, err)
		}
	}
	if _, err := Read(func(string) string { return "" }); err == nil {
		t.Error("no file, no error")
	}
}

// Guards a reload against taking over half of a file: what needs a restart is named.
func TestReloadNamesWhatNeedsARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	c, err := readText(path, goodConfig)
	if err != nil {
		t.Fatal(err)
	}
	for _, to := range []struct{ old, new, want string }{
		{"127.0.0.1:1053", "127.0.0.2:1053", "[]"},
		{`"8c1f30d27a5be964"`, `"1"`, "[]"},
		{"127.0.0.1:10080", "127.0.0.2:10080", "[listen]"},
		{`"sockets":1024`, `"sockets":512`, "[limits]"},
		{`"deadlineMs":3000`, `"deadlineMs":2000`, "[settings]"},
	} {
		fresh, err := readText(path, strings.Replace(goodConfig, to.old, to.new, 1))
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(c.NeedsRestart(fresh)); got != to.want {
			t.Errorf("%s needs a restart for %s, want %s", to.new, got, to.want)
		}
	}
}

// Guards small shares: what may be held for peers stays within the memory and the descriptors given.
func TestBoundsFollowTheLimits(t *testing.T) {
	for _, memory := range []int{32, 48, 64, 192, 2048} {
		for _, sockets := range []int{64, 256, 1024} {
			var c Config
			c.Limits.MemoryMB, c.Limits.Sockets, c.Network.Limits.MaxOpen = memory, sockets, 20000
			held := c.ScaleToMemory(8<<20) + c.ScaleToMemory(32<<20) + c.ScaleToMemory(24<<20) + c.ScaleToMemory(16<<20) + c.MaxConcurrentRequests()*2048
			if held > memory<<20/2 || c.ScaleToMemory(24<<20) < 1<<20 || c.MaxConcurrentRequests() < 1000 {
				t.Errorf("%d MB: %d bytes may be held, %d requests open", memory, held, c.MaxConcurrentRequests())
			}
			if own := sockets - c.MaxClientConnections() - c.MaxWorkerConnections(); c.MaxClientConnections()*3 > sockets || own < 16 || c.MaxWorkerConnections() < 20 {
				t.Errorf("%d descriptors: %d for clients, %d for workers", sockets, c.MaxClientConnections(), c.MaxWorkerConnections())
			}
		}
	}
	var c Config
	if c.RejectionRetryAfter() != 0 {
		t.Error("advice where the settings allow none")
	}
	c.Policy.RetryAfterSupported, c.Policy.MaxRetryAfter = true, 300*time.Millisecond
	if c.RejectionRetryAfter() != c.Policy.MaxRetryAfter {
		t.Errorf("advice %v", c.RejectionRetryAfter())
	}
}
