package server

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/BurntSushi/toml"
)

// addressesFile holds the settings of the addresses file, which configures how workers' addresses are found.
type addressesFile struct {
	// UnixInTXT makes discovery accept unix=/path in a worker's TXT record as an additional address.
	UnixInTXT bool `toml:"unix_in_txt"`
}

var errUnknownSetting = errors.New("unknown setting")

// AddressesFileError reports why the addresses file can't be used.
type AddressesFileError struct {
	File  string
	Field string // the unknown setting, or "" if the error concerns the whole file
	Err   error
}

// Error returns a text that names the file once: errors of the file system already include the file name.
func (e *AddressesFileError) Error() string {
	var pathErr *fs.PathError
	switch {
	case errors.As(e.Err, &pathErr):
		return fmt.Sprintf("addresses file: %v", e.Err)
	case e.Field != "":
		return fmt.Sprintf("addresses file %s: %v %s", e.File, e.Err, e.Field)
	}
	return fmt.Sprintf("addresses file %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *AddressesFileError) Unwrap() error { return e.Err }

// readAddresses reads the addresses file, or returns the defaults if name is empty.
func readAddresses(name string) (addressesFile, error) {
	var settings addressesFile
	if name == "" {
		return settings, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return settings, &AddressesFileError{File: name, Err: err}
	}
	metadata, err := toml.Decode(string(text), &settings)
	if err != nil {
		return settings, &AddressesFileError{File: name, Err: err}
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return settings, &AddressesFileError{File: name, Field: unknown[0].String(), Err: errUnknownSetting}
	}
	return settings, nil
}
