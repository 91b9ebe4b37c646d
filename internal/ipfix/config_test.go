package ipfix

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// An error in the export file names the file, and has the setting in a field of its own.
func TestConfigErrorsCarryTheFileAndTheSetting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ipfix.toml")
	for _, test := range []struct{ text, key, message string }{
		{"port = 1", "port", "export file " + path + ": unknown setting port"},
		{"enabled = true\ncollector = \"nowhere\"", "collector", "export file " + path + ": not an ip:port"},
	} {
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadConfig(path)
		var config *ConfigError
		if !errors.As(err, &config) || config.File != path || config.Key != test.key || err.Error() != test.message {
			t.Errorf("%q: %v, want %s", test.text, err, test.message)
		}
	}
	missing := path + ".missing"
	_, err := ReadConfig(missing)
	if want := "export file: open " + missing + ": no such file or directory"; err == nil || err.Error() != want {
		t.Errorf("a missing file: %v, want %s", err, want)
	}
}

// The collector's address is not checked while the export is disabled.
func TestCollectorIsCheckedOnlyIfEnabled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ipfix.toml")
	if err := os.WriteFile(path, []byte("collector = \"nowhere\"\nobservation_domain = 7"), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := ReadConfig(path)
	if err != nil || config.Domain != 7 {
		t.Errorf("%+v, %v", config, err)
	}
}
