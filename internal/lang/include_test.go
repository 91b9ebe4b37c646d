package lang

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"strings"
	"testing"
	"testing/fstest"
)

// Includes are limited in depth, number of files and size, so that malicious files cost little memory and time.
func TestIncludesAreBounded(t *testing.T) {
	t.Run("depth", func(t *testing.T) {
		files := fstest.MapFS{"main.crank": textFile("include \"a0.crank\"\n")}
		for i := range 40 {
			files[fmt.Sprintf("a%d.crank", i)] = textFile(fmt.Sprintf("include \"a%d.crank\"\n", i+1))
		}
		r := checkFiles(t, files, "", nil)
		if len(r.Files) != maxIncludeDepth || !strings.Contains(r.Faults.Error(), "includes are nested more than 16 deep: main.crank > a0.crank") {
			t.Errorf("%d files, %v", len(r.Files), r.Faults)
		}
	})
	t.Run("files", func(t *testing.T) {
		files := fstest.MapFS{"main.crank": textFile("include \"d/*\"\n")}
		for i := range 1200 {
			files[fmt.Sprintf("d/%04d", i)] = textFile("# x\n")
		}
		r := checkFiles(t, files, "", nil)
		if len(r.Files) != maxFiles || !strings.Contains(r.Faults.Error(), "main.crank:1:1: more than 1000 files") {
			t.Errorf("%d files, %.200v", len(r.Files), r.Faults)
		}
	})
	t.Run("bytes", func(t *testing.T) {
		r := checkFiles(t, fstest.MapFS{"main.crank": {Data: make([]byte, 50<<20), Mode: 0o644}}, "", nil)
		if !strings.Contains(r.Faults.Error(), "larger than 4 MiB") {
			t.Errorf("%.200v", r.Faults)
		}
	})
}

func TestCheckReportsAMissingFirstFile(t *testing.T) {
	_, err := Check(fstest.MapFS{}, "main.crank", "deploy", nil)
	if err == nil || err.Error() != path.Join("deploy", "main.crank")+": file does not exist" {
		t.Errorf("error %v", err)
	}
	var fileError *FileError
	if !errors.As(err, &fileError) || fileError.File != "deploy/main.crank" || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %#v", err)
	}
}
