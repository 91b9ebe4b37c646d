package command

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"crankhold/internal/lang/syntax"
)

// formatCommand implements the command fmt.
type formatCommand struct {
	Files []string `arg:"" help:"The files; what they include is not touched." type:"path"`
	Write bool     `short:"w" help:"Write each file back in place of printing it."`
	Check bool     `help:"Print the names of the files that are not in the one form, and change nothing."`
}

// Run formats files. A file with faults is never written.
func (c formatCommand) Run(env Env) error {
	if c.Write && c.Check {
		return usageError("fmt takes -w or --check, not both")
	}
	status := exitSuccess
	for _, path := range c.Files {
		fileStatus, err := c.formatFile(path, env)
		if err != nil {
			return err
		}
		status = max(status, fileStatus)
	}
	if status != exitSuccess {
		return &exitError{status: status}
	}
	return nil
}

// formatFile formats one file. It returns exitUsage if the file has faults, and exitFinding if --check finds that it is
// not in canonical form. After an error, the command formats no further file.
func (c formatCommand) formatFile(path string, env Env) (exitStatus, error) {
	text, err := readFile(path)
	if err != nil {
		return exitUsage, inputError(err)
	}
	file, _, faults := syntax.Parse(displayPath(path), text)
	if len(faults) > 0 {
		printFaults(env.Err, faults)
		return exitUsage, nil
	}
	formatted := syntax.Format(file)
	if !c.Check && !c.Write {
		return printFormatted(env.Out, formatted)
	}
	if bytes.Equal(text, formatted) {
		return exitSuccess, nil
	}
	if c.Check {
		fmt.Fprintln(env.Out, file.Name)
		return exitFinding, nil
	}
	if err := replaceFile(path, formatted); err != nil {
		return exitUsage, inputError(err)
	}
	return exitSuccess, nil
}

// printFormatted prints the text of a formatted file.
func printFormatted(w io.Writer, formatted []byte) (exitStatus, error) {
	if _, err := w.Write(formatted); err != nil {
		return exitFinding, err
	}
	return exitSuccess, nil
}

// readFile reads at most one byte more than a routes file may have, so that the parser reports a file that is too long.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, syntax.MaxFileBytes+1))
}

// replaceFile replaces the text of a file atomically: it writes a temporary file and renames it over the old one. It
// follows symbolic links, and keeps the permissions.
func replaceFile(path string, text []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	path, err = filepath.EvalSymlinks(path)
	if err != nil {
		return err
	}
	tempFile, err := os.CreateTemp(filepath.Dir(path), ".crank-*")
	if err != nil {
		return err
	}
	defer os.Remove(tempFile.Name())
	err = writeSynced(tempFile, text, info.Mode().Perm())
	closeErr := tempFile.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("%s is unchanged: %w", path, err)
	}
	return os.Rename(tempFile.Name(), path)
}

// writeSynced writes the text of a file, sets its permissions and syncs it to disk.
func writeSynced(f *os.File, text []byte, mode fs.FileMode) error {
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := f.Chmod(mode); err != nil {
		return err
	}
	return f.Sync()
}
