package archtest

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The platform requires that the setting run replaces its shell with the program by exec, and that the program is
// linked dynamically against the C library. A statically linked Go program works on other machines and fails on the
// platform.
func TestDeployedProgramIsLinkedAgainstTheCLibrary(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	words := strings.Fields(deploy.Run)
	if len(words) < 2 || words[0] != "exec" || strings.ContainsAny(deploy.Run, ";&|`$") {
		t.Fatalf("run = %q is not a single command that starts with exec", deploy.Run)
	}
	// Build into a temporary folder because the program in bin may be running.
	dir := t.TempDir()
	build := strings.NewReplacer("-p bin", "-p "+dir, "-o bin/", "-o "+dir+"/").Replace(deploy.Build)
	if build == deploy.Build {
		t.Fatalf("build = %q does not build into bin", deploy.Build)
	}
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir, cmd.Env = root, os.Environ()
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	f, err := elf.Open(filepath.Join(dir, filepath.Base(words[1])))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no ELF interpreter: it is linked statically")
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(s string) bool { return strings.HasPrefix(s, "libc.") }) {
		t.Errorf("the program is not linked against the C library, only against %v", libs)
	}
}
