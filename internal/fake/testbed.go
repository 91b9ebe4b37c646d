package fake

import (
	"os"
	"path/filepath"
)

// Testbed is what it takes to start a router on this machine: a site, and a temporary folder for its configuration.
type Testbed struct {
	Dir  string
	Site *Site // nil before Start
}

// NewTestbed makes the temporary folder, whose name begins with a prefix.
func NewTestbed(prefix string) (*Testbed, error) {
	dir, err := os.MkdirTemp("", prefix)
	if err != nil {
		return nil, err
	}
	return &Testbed{Dir: dir}, nil
}

// Start starts workers, and a discovery server on a free port.
func (t *Testbed) Start(workers []WorkerConfig, record func(Event)) error {
	site, err := NewSite("127.0.0.1:0", workers, record)
	if err != nil {
		return err
	}
	t.Site = site
	return nil
}

// Path returns the path of a file in the folder.
func (t *Testbed) Path(name string) string { return filepath.Join(t.Dir, name) }

// WriteFile writes a file of the folder and returns its path. A reader never sees half of it.
func (t *Testbed) WriteFile(name string, content []byte) (path string, err error) {
	path = t.Path(name)
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// WriteConfig writes the configuration of a router that listens on a free address, and returns that address and the
// file's path.
func (t *Testbed) WriteConfig(name string) (listen, path string, err error) {
	listen, err = FreeAddr()
	if err != nil {
		return "", "", err
	}
	path, err = t.WriteFile(name, t.Site.Config(listen))
	return listen, path, err
}

// Close ends the site and removes the folder.
func (t *Testbed) Close() {
	if t.Site != nil {
		t.Site.Close()
	}
	os.RemoveAll(t.Dir)
}
