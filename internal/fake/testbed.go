package fake

import (
	"os"
	"path/filepath"
	"slices"
)

// Testbed contains what is needed to start a router on this machine: a site, and a temporary folder for the router's
// configuration.
type Testbed struct {
	Dir  string
	Site *Site
}

// TestbedConfig describes a testbed.
type TestbedConfig struct {
	Prefix  string         // prefix of the temporary folder's name
	Workers []WorkerConfig // relative paths of Unix sockets are relative to the temporary folder
	Record  func(Event)    // passed to NewWorker; may be nil
}

// StartTestbed creates the temporary folder, and starts the workers and a discovery server on a free port.
func StartTestbed(cfg TestbedConfig) (*Testbed, error) {
	dir, err := os.MkdirTemp("", cfg.Prefix)
	if err != nil {
		return nil, err
	}
	site, err := NewSite("127.0.0.1:0", resolveSocketPaths(cfg.Workers, dir), cfg.Record)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return &Testbed{Dir: dir, Site: site}, nil
}

// resolveSocketPaths returns copies of the workers in which relative paths of Unix sockets are joined to a folder.
func resolveSocketPaths(workers []WorkerConfig, dir string) []WorkerConfig {
	resolved := slices.Clone(workers)
	for i := range resolved {
		resolved[i].MoreAddrs = slices.Clone(resolved[i].MoreAddrs)
		for j := range resolved[i].MoreAddrs {
			address := &resolved[i].MoreAddrs[j]
			if address.Network == NetworkUnix && !filepath.IsAbs(address.Addr) {
				address.Addr = filepath.Join(dir, address.Addr)
			}
		}
	}
	return resolved
}

// Path returns the path of a file in the temporary folder.
func (t *Testbed) Path(name string) string { return filepath.Join(t.Dir, name) }

// WriteFile writes a file in the temporary folder and returns its path. The file gets its name by a rename after it is
// complete.
func (t *Testbed) WriteFile(name string, content []byte) (path string, err error) {
	path = t.Path(name)
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// WriteConfig writes the configuration of a router that listens on a free address. It returns that address and the path
// of the file.
func (t *Testbed) WriteConfig(name string) (listen, path string, err error) {
	listen, err = FreeAddr()
	if err != nil {
		return "", "", err
	}
	path, err = t.WriteFile(name, t.Site.Config(listen))
	return listen, path, err
}

// Close closes the site and removes the temporary folder. It blocks until all goroutines of the site have stopped.
func (t *Testbed) Close() {
	t.Site.Close()
	os.RemoveAll(t.Dir)
}
