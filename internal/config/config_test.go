package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/policy"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:10080","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "names":"127.0.0.1:1053","known":{"offset":3,"batch":[{"offset":3,"topology":{"complete":true,"members":[]}}]},
 "settings":{"classes":[{"name":"repair-order","deadlineMs":3000,"goalTimeMs":1200,"semantics":"unsafe","group":"all"}]}}`

// writeAndRead writes a configuration to path and reads it, with EDGE_NAME set to n4.
func writeAndRead(path, text string) (*Config, error) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return Read(getenvFrom(map[string]string{"EDGE_CONFIG": path, "EDGE_NAME": "n4"}))
}

// getenvFrom returns a function that looks up environment variables in a map.
func getenvFrom(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// A valid file is read with the overrides from the environment and the defaults. The error for an invalid file has one
// line.
func TestReadChecksTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	read := func(text string) (*Config, error) { return writeAndRead(path, text) }
	c, err := read(validConfig)
	if err != nil || c.Name != "n4" || c.SeedValue != 0x8c1f30d27a5be964 || c.Snapshot.Serial != 3 ||
		c.Network.Classes[0].Name != "repair-order" || c.Network.Limits.MaxRequestsPerConnection != 32 {
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
		if _, err := read(strings.Replace(validConfig, old, new, 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", new, err)
		}
	}
	if _, err := Read(getenvFrom(nil)); err == nil {
		t.Error("no error without a configuration file")
	}
}

// KeysNeedingRestart returns the changed keys that a reload does not apply, and only those.
func TestNeedsRestartNamesChangedKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	c, err := writeAndRead(path, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, new, want string }{
		{"127.0.0.1:1053", "127.0.0.2:1053", "[]"},
		{`"8c1f30d27a5be964"`, `"1"`, "[]"},
		{"127.0.0.1:10080", "127.0.0.2:10080", "[listen]"},
		{`"sockets":1024`, `"sockets":512`, "[limits]"},
		{`"deadlineMs":3000`, `"deadlineMs":2000`, "[settings]"},
	} {
		reloaded, err := writeAndRead(path, strings.Replace(validConfig, test.old, test.new, 1))
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(c.KeysNeedingRestart(reloaded)); got != test.want {
			t.Errorf("%s needs a restart for %s, want %s", test.new, got, test.want)
		}
	}
}

// The bounds on buffers, requests and connections stay within the limits on memory and descriptors, even if these are
// low, and stay large enough to serve requests.
func TestBoundsFollowTheLimits(t *testing.T) {
	for _, memory := range []int{32, 48, 64, 192, 2048} {
		for _, descriptors := range []int{64, 256, 1024} {
			var c Config
			c.Limits.MemoryMB = memory
			c.Limits.MaxDescriptors = descriptors
			c.Network.Limits.MaxOpenRequests = 20000
			total := c.ScaleToMemory(8<<20) + c.ScaleToMemory(32<<20) + c.ScaleToMemory(24<<20) + c.ScaleToMemory(16<<20) + c.MaxConcurrentRequests()*2048
			if total > memory<<20/2 || c.ScaleToMemory(24<<20) < 1<<20 || c.MaxConcurrentRequests() < 1000 {
				t.Errorf("%d MB: bounds of %d bytes and %d open requests", memory, total, c.MaxConcurrentRequests())
			}
			if own := descriptors - c.MaxClientConnections() - c.MaxWorkerConnections(); c.MaxClientConnections()*3 > descriptors || own < 16 || c.MaxWorkerConnections() < 20 {
				t.Errorf("%d descriptors: %d for clients, %d for workers", descriptors, c.MaxClientConnections(), c.MaxWorkerConnections())
			}
		}
	}
	var c Config
	if c.RejectionRetryAfter() != 0 {
		t.Error("Retry-After although the settings allow none")
	}
	c.Policy.RetryAfterSupported = true
	c.Policy.MaxRetryAfter = 300 * time.Millisecond
	if c.RejectionRetryAfter() != c.Policy.MaxRetryAfter {
		t.Errorf("Retry-After %v", c.RejectionRetryAfter())
	}
}

// Errors that Read returns hold the name of the file, and of the invalid field if there is one, for use with errors.As.
func TestReadErrorsAreTyped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, test := range []struct{ name, old, new, field, text string }{
		{"listen", `"listen":"127.0.0.1:10080"`, `"listen":"nowhere"`, "listen", "listen: not an ip:port"},
		{"discovery address", `"names":"127.0.0.1:1053"`, `"names":""`, "names", "names: not an ip:port"},
		{"seed", `"8c1f30d27a5be964"`, `"seed"`, "seed", `seed: strconv.ParseUint: parsing "seed": invalid syntax`},
		{"limits", `"sockets":1024`, `"sockets":3`, "limits", "limits: too little memory or too few sockets"},
		{"class without a name", `"name":"repair-order",`, ``, "", "class 0 has no name"},
		{"account without a name", `"settings":{`, `"settings":{"accounts":[{"name":"a"},{}],`, "", "account 1 has no name"},
		{"unknown semantics", `"unsafe"`, `"maybe"`, "", `settings: class 0: unknown semantics "maybe"`},
		{"malformed", validConfig, `{`, "", "unexpected end of JSON input"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := writeAndRead(path, strings.Replace(validConfig, test.old, test.new, 1))
			if err == nil || err.Error() != "config "+path+": "+test.text {
				t.Fatalf("error %v, want %s", err, test.text)
			}
			var fieldError *FieldError
			if errors.As(err, &fieldError) != (test.field != "") {
				t.Fatalf("error %#v, want a field %q", err, test.field)
			}
			if fieldError != nil && (fieldError.File != path || fieldError.Field != test.field) {
				t.Errorf("error of file %s, field %s", fieldError.File, fieldError.Field)
			}
			var fileError *FileError
			if fieldError == nil && (!errors.As(err, &fileError) || fileError.File != path) {
				t.Errorf("error %#v names no file", err)
			}
		})
	}
}

// The error for an unreadable file names the file once and wraps the cause. A reload needs the cause, because it
// retries if no descriptor was left.
func TestReadErrorsKeepTheirCause(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.json")
	_, err := Read(getenvFrom(map[string]string{"EDGE_CONFIG": missing}))
	if !errors.Is(err, fs.ErrNotExist) || err.Error() != "config: open "+missing+": no such file or directory" {
		t.Errorf("error %v", err)
	}
	if _, err := Read(getenvFrom(nil)); !errors.Is(err, ErrNoFile) {
		t.Errorf("error %v", err)
	}
}

// A zone is known if the settings list its name once, as DNS compares names. Guards against workers without a zone that
// count as one zone where the settings list an empty name, and against a spelling that decides.
func TestZonesThatAreNotListedOnceAreUnknown(t *testing.T) {
	c := &Config{}
	c.Network.Zones = []string{"", "dc1", "DC2", "dc3", "Dc3"}
	for name, want := range map[string]policy.Group{
		"": {}, "dc3": {}, "dc4": {}, "dc": {},
		"DC1": policy.KnownGroup(1), "dc2": policy.KnownGroup(2),
	} {
		if got := c.ZoneGroup(name); got != want {
			t.Errorf("zone %q: %v, want %v", name, got, want)
		}
	}
}
