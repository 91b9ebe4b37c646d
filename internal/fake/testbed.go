package fake

import (
	"os"
	"path/filepath"
	"slices"
)

// Testbed is what it takes to start a router on this machine: a site, and a temporary folder for its configuration.
type Testbed struct {
	Dir  string
	Site *Site
}

// TestbedConfig describes a testbed.
type TestbedConfig struct {
	Prefix  string         // begins the name of the temporary folder
	Workers []WorkerConfig // the relative path of a Unix socket is in the temporary folder
	Record  func(Event)    // called as by NewWorker; may be nil
}

// StartTestbed makes the temporary folder, and starts workers and a discovery server on a free port.
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

// resolveSocketPaths returns the workers with relative paths of Unix sockets placed in a folder.
func resolveSocketPaths(workers []WorkerConfig, dir string) []WorkerConfig {
	placed := slices.Clone(workers)
	for i := range placed {
		placed[i].MoreAddrs = slices.Clone(placed[i].MoreAddrs)
		for j := range placed[i].MoreAddrs {
			address := &placed[i].MoreAddrs[j]
			if address.Network == NetworkUnix && !filepath.IsAbs(address.Addr) {
				address.Addr = filepath.Join(dir, address.Addr)
			}
		}
	}
	return placed
}

// Path returns the path of a file in the folder.
func (t *Testbed) Path(name string) string { return filepath.Join(t.Dir, name) }

// WriteFile writes a file of the folder and returns its path. The file takes its name once it is complete.
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

// Close ends the site and removes the folder. It blocks until all goroutines of the site have ended.
func (t *Testbed) Close() {
	t.Site.Close()
	os.RemoveAll(t.Dir)
}
