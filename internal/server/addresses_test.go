package server

import (
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

// An invalid addresses file is an error that names the file once, and the unknown setting. Without a file name the
// defaults apply.
func TestAddressesFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "addresses.toml")
	for _, test := range []struct {
		name, text  string
		unixInTXT   bool
		field, want string // of the error; want is "" if there is none
	}{
		{name: "empty"},
		{name: "on", text: "unix_in_txt = true", unixInTXT: true},
		{name: "unknown setting", text: "unix_in_txt = true\nunix = 1", unixInTXT: true, field: "unix", want: "addresses file " + file + ": unknown setting unix"},
		{name: "malformed", text: "unix_in_txt =", want: "addresses file " + file + ": toml: line 1 (last key \"unix_in_txt\"): unexpected EOF; expected value"},
	} {
		t.Run(test.name, func(t *testing.T) {
			writeText(t, file, test.text)
			settings, err := readAddresses(file)
			if settings.UnixInTXT != test.unixInTXT {
				t.Errorf("read %+v", settings)
			}
			if test.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var fileError *AddressesFileError
			if !errors.As(err, &fileError) || fileError.File != file || fileError.Field != test.field || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
	if settings, err := readAddresses(""); settings.UnixInTXT || err != nil {
		t.Errorf("without a file: %+v, %v", settings, err)
	}
	missing := filepath.Join(t.TempDir(), "none.toml")
	if _, err := readAddresses(missing); !errors.Is(err, fs.ErrNotExist) || err.Error() != "addresses file: open "+missing+": no such file or directory" {
		t.Errorf("a file that does not exist: %v", err)
	}
}
