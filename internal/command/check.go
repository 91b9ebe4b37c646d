package command

import (
	"fmt"

	"crankhold/internal/lang"
	"crankhold/internal/lang/syntax"
)

// checkCommand implements the command check.
type checkCommand struct {
	File string `arg:"" help:"The first file; what it includes is checked with it." type:"path"`
	platformFlag
	JSON bool `help:"Print JSON on standard output." name:"json"`
}

// Run checks a routes file and the files that it includes, and prints all faults and notes.
func (c checkCommand) Run(env Env) error {
	file := displayPath(c.File)
	r, err := c.checkRoutes(file)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env.Out, newCheckReport(r)); err != nil {
			return err
		}
	} else {
		printFaults(env.Err, r.Faults)
		printNotes(env.Err, r.Notes)
	}
	if len(r.Faults) > 0 {
		return errFinding
	}
	if !c.JSON {
		fmt.Fprintf(env.Out, "%s: no faults in %s; %s, %s, %s\n", file, plural(len(r.Files), "file"),
			plural(len(r.Spec.Routes), "route"), plural(len(r.Spec.Pools), "pool"), plural(len(r.Notes), "note"))
	}
	return nil
}

// checkReport is the JSON output of check.
type checkReport struct {
	Files  []string      `json:"files"`
	Faults syntax.Faults `json:"faults"`
	Notes  syntax.Faults `json:"notes"`
}

func newCheckReport(r *lang.Result) checkReport {
	return checkReport{Files: r.Files, Faults: nonNil(r.Faults), Notes: nonNil(r.Notes)}
}

// nonNil returns an empty list for nil, which would be null in JSON, and any other list unchanged.
func nonNil(faults syntax.Faults) syntax.Faults {
	if faults == nil {
		return syntax.Faults{}
	}
	return faults
}
