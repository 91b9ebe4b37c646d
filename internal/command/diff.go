package command

import (
	"fmt"
	"io"

	"crankhold/internal/lang"
	"crankhold/internal/route"
)

// diffCommand implements the command diff.
type diffCommand struct {
	Old string `arg:"" help:"The file in force." type:"path"`
	New string `arg:"" help:"The file that is to replace it." type:"path"`
	platformFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints how the behavior of the new file differs from that of the old one.
func (c diffCommand) Run(env Env) error {
	old, err := c.loadRoutes(displayPath(c.Old), env)
	if err != nil {
		return err
	}
	updated, err := c.loadRoutes(displayPath(c.New), env)
	if err != nil {
		return err
	}
	changes, err := lang.Diff(old, updated)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env.Out, changeReports(changes)); err != nil {
			return err
		}
	} else {
		printChanges(env.Out, changes)
	}
	if len(changes) > 0 {
		return errFinding
	}
	return nil
}

func printChanges(w io.Writer, changes []route.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change.Subject())
		fmt.Fprintf(w, "  - %s%s\n", change.Before, inParentheses(change.BeforeAt))
		fmt.Fprintf(w, "  + %s%s\n", change.After, inParentheses(change.AfterAt))
		if example := exampleOf(change); example != "" {
			fmt.Fprintf(w, "  such as %s\n", example)
		}
	}
}

// changeReport is one change in the JSON output of diff.
type changeReport struct {
	Affects   string   `json:"of"`
	Example   string   `json:"example,omitempty"`
	Before    string   `json:"before"`
	After     string   `json:"after"`
	Positions []string `json:"lines"` // in the old and the new file; "" if there is none
}

func changeReports(changes []route.Change) []changeReport {
	reports := []changeReport{}
	for _, change := range changes {
		reports = append(reports, changeReport{
			Affects:   change.Subject(),
			Example:   exampleOf(change),
			Before:    change.Before,
			After:     change.After,
			Positions: []string{change.BeforeAt, change.AfterAt},
		})
	}
	return reports
}

// exampleOf returns an example of a request that a change affects, as arguments of the command explain. It returns ""
// for a change of a pool.
func exampleOf(change route.Change) string {
	if len(change.Regions) == 0 {
		return ""
	}
	return change.Regions[0].Example.String()
}

// inParentheses returns a position in parentheses after two spaces, or "" if the position is empty.
func inParentheses(position string) string {
	if position == "" {
		return ""
	}
	return "  (" + position + ")"
}
