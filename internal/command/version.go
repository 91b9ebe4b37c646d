package command

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand implements the command version.
type versionCommand struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// versionReport is the JSON output of version.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source code; "" if unknown
	Go       string `json:"go"`
	Platform string `json:"platform"` // operating system and architecture
}

// Run prints the version and revision of the program, the version of Go, and the platform.
func (v versionCommand) Run(env Env) error {
	r := versionReport{
		Version:  "unreleased",
		Revision: buildRevision(),
		Go:       runtime.Version(),
		Platform: runtime.GOOS + "/" + runtime.GOARCH,
	}
	if v.JSON {
		return printJSON(env.Out, r)
	}
	text := "crankhold " + r.Version
	if r.Revision != "" {
		text += " " + r.Revision
	}
	_, err := fmt.Fprintln(env.Out, text, r.Go, r.Platform)
	return err
}

// buildRevision returns the version control revision that the program was built from, or "" if the build information
// does not contain it.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
