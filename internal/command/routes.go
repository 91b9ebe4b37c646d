package command

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"crankhold/internal/config"
	"crankhold/internal/lang"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
	"crankhold/internal/server"
)

// platformFlag is the flag that has files checked platformFlag the platform's settings too.
type platformFlag struct {
	Platform string `help:"Check against the settings in the platform's JSON configuration too." placeholder:"CONFIG.json"`
}

// read reads what the flag names; nil where it names nothing.
func (a platformFlag) read() (*lang.Platform, error) {
	if a.Platform == "" {
		return nil, nil
	}
	c, err := config.Read(func(name string) string { return map[string]string{"EDGE_CONFIG": a.Platform}[name] })
	if err != nil {
		return nil, unreadable(err)
	}
	return c.RoutingPlatform(), nil
}

// loadRoutes checks a file that a command needs in order. It prints the faults, and is an error where there are any.
func (a platformFlag) loadRoutes(file string, env Env) (*lang.Result, error) {
	p, err := a.read()
	if err != nil {
		return nil, err
	}
	r, err := server.CheckRoutesFile(file, p)
	if err != nil {
		return nil, unreadable(err)
	}
	if len(r.Faults) > 0 {
		printFaults(env.Err, r.Faults, "")
		return nil, &exitError{exitUsage, fmt.Sprintf("crankhold: %s has %s", file, plural(len(r.Faults), "fault"))}
	}
	return r, nil
}

func plural(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

func printFaults(w io.Writer, list syntax.Faults, prefix string) {
	for _, f := range list {
		f.Msg = prefix + f.Msg
		fmt.Fprintln(w, f.Quoted())
	}
}

type checkCommand struct {
	File string `arg:"" help:"The first file; what it includes is checked with it." type:"path"`
	platformFlag
	JSON bool `help:"Print JSON on standard output." name:"json"`
}

// Run checks a file.
func (c checkCommand) Run(env Env) error {
	p, err := c.read()
	if err != nil {
		return err
	}
	r, err := server.CheckRoutesFile(shownPath(c.File), p)
	if err != nil {
		return unreadable(err)
	}
	if c.JSON {
		if err := printJSON(env.Out, struct {
			Files  []string      `json:"files"`
			Faults syntax.Faults `json:"faults"`
			Notes  syntax.Faults `json:"notes"`
		}{r.Files, orEmpty(r.Faults), orEmpty(r.Notes)}); err != nil {
			return err
		}
	} else {
		printFaults(env.Err, r.Faults, "")
		printFaults(env.Err, r.Notes, "note: ")
	}
	if len(r.Faults) > 0 {
		return &exitError{status: exitFinding}
	}
	if !c.JSON {
		fmt.Fprintf(env.Out, "%s: no faults in %s; %s, %s, %s\n", shownPath(c.File), plural(len(r.Files), "file"),
			plural(len(r.Spec.Routes), "route"), plural(len(r.Spec.Pools), "pool"), plural(len(r.Notes), "note"))
	}
	return nil
}

func orEmpty(l syntax.Faults) syntax.Faults {
	if l == nil {
		return syntax.Faults{}
	}
	return l
}

// shownPath is a path as the operator would word it: from here, where it is below.
func shownPath(path string) string {
	if here, err := os.Getwd(); err == nil {
		if rel, err := filepath.Rel(here, path); err == nil && !strings.HasPrefix(rel, "..") {
			return rel
		}
	}
	return path
}

type formatCommand struct {
	Files []string `arg:"" help:"The files; what they include is not touched." type:"path"`
	Write bool     `short:"w" help:"Write each file back in place of printing it."`
	Check bool     `help:"Print the names of the files that are not in the one form, and change nothing."`
}

// Run formats files. One that can't be read whole is never written.
func (c formatCommand) Run(env Env) error {
	if c.Write && c.Check {
		return &exitError{exitUsage, "crankhold: fmt takes -w or --check, not both"}
	}
	code := exitSuccess
	for _, path := range c.Files {
		name := shownPath(path)
		text, err := readFile(path)
		if err != nil {
			return unreadable(err)
		}
		f, _, faults := syntax.Parse(name, text)
		if len(faults) > 0 {
			printFaults(env.Err, faults, "")
			code = exitUsage
			continue
		}
		formed := syntax.Format(f)
		switch same := bytes.Equal(text, formed); {
		case c.Check && !same:
			fmt.Fprintln(env.Out, name)
			code = max(code, exitFinding)
		case c.Write && !same:
			if err := replaceFile(path, formed); err != nil {
				return unreadable(err)
			}
		case !c.Check && !c.Write:
			if _, err := env.Out.Write(formed); err != nil {
				return err
			}
		}
	}
	if code != exitSuccess {
		return &exitError{status: code}
	}
	return nil
}

// readFile reads a file of up to a byte more than one may have.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, syntax.MaxBytes+1))
}

// replaceFile puts text in the place of a file, whole or not at all.
func replaceFile(path string, text []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if path, err = filepath.EvalSymlinks(path); err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".crank-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err == nil {
		err = tmp.Chmod(info.Mode().Perm())
	}
	if err == nil {
		err = tmp.Sync()
	}
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("%s is unchanged: %w", path, err)
	}
	return os.Rename(tmp.Name(), path)
}

type diffCommand struct {
	Old string `arg:"" help:"The file in force." type:"path"`
	New string `arg:"" help:"The file that is to replace it." type:"path"`
	platformFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run tells what changes.
func (c diffCommand) Run(env Env) error {
	o, err := c.loadRoutes(shownPath(c.Old), env)
	if err != nil {
		return err
	}
	n, err := c.loadRoutes(shownPath(c.New), env)
	if err != nil {
		return err
	}
	changes, err := lang.Diff(o, n)
	if err != nil {
		return err
	}
	if c.JSON {
		type change struct {
			Of      string   `json:"of"`
			Example string   `json:"example,omitempty"`
			Before  string   `json:"before"`
			After   string   `json:"after"`
			Lines   []string `json:"lines"`
		}
		list := []change{}
		for _, d := range changes {
			k := change{Of: d.Subject(), Before: d.Before, After: d.After, Lines: []string{d.BeforeAt, d.AfterAt}}
			if len(d.Regions) > 0 {
				k.Example = d.Regions[0].Example.String()
			}
			list = append(list, k)
		}
		if err := printJSON(env.Out, list); err != nil {
			return err
		}
	} else {
		for _, d := range changes {
			fmt.Fprintln(env.Out, d.Subject())
			fmt.Fprintf(env.Out, "  - %s%s\n  + %s%s\n", d.Before, at(d.BeforeAt), d.After, at(d.AfterAt))
			if len(d.Regions) > 0 {
				fmt.Fprintf(env.Out, "  such as %v\n", d.Regions[0].Example)
			}
		}
	}
	if len(changes) > 0 {
		return &exitError{status: exitFinding}
	}
	return nil
}

func at(place string) string {
	if place == "" {
		return ""
	}
	return "  (" + place + ")"
}

type explainCommand struct {
	File     string `arg:"" help:"The routes file." type:"path"`
	Front    string `help:"The front that the call comes by." enum:"thrift,webhook" default:"thrift"`
	Class    string `help:"Its class." required:""`
	Function string `help:"Its function, 16 hex digits." required:""`
	Tenant   string `help:"The tenant that a webhook names."`
	platformFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run explains what a call meets.
func (c explainCommand) Run(env Env) error {
	p, err := route.ParsePattern(c.Function)
	if err != nil || strings.HasSuffix(c.Function, "*") {
		return &exitError{exitUsage, fmt.Sprintf("crankhold: --function: %q is no function: 16 hex digits", c.Function)}
	}
	r, err := c.loadRoutes(shownPath(c.File), env)
	if err != nil {
		return err
	}
	call := route.Request{Front: route.Thrift, Function: p.Prefix, Tenant: c.Tenant}
	if c.Front == "webhook" {
		call.Front = route.Webhook
	} else if c.Tenant != "" {
		return &exitError{exitUsage, "crankhold: only webhooks name a tenant: --tenant goes with --front=webhook"}
	}
	classes := r.Classes()
	if call.Class = slices.Index(classes, c.Class); call.Class < 0 {
		if r.ClassesComplete() {
			return &exitError{exitUsage, fmt.Sprintf("crankhold: --class: no class %q, but %s", c.Class, strings.Join(classes, ", "))}
		}
		call.Class = len(classes)
	}
	t, err := route.Compile(&r.Spec, classes)
	if err != nil {
		return err
	}
	type said struct {
		What  string   `json:"what"`
		Name  string   `json:"name,omitempty"`
		Means string   `json:"means"`
		Lines []string `json:"lines,omitempty"`
	}
	lines := func(word, name string) (list []string) {
		for _, f := range r.Lines(word, name) {
			list = append(list, f.Pos.String()+": "+f.Line)
		}
		return list
	}
	var list []said
	to := t.Match(call)
	switch {
	case to == nil:
		list = append(list, said{What: "route", Means: "none matches: refused at once"})
	case to.Pool == nil:
		list = append(list, said{"route", to.Spec.Name, "refused at once", lines("route", to.Spec.Name)})
	default:
		once := slices.Contains(r.NotIdempotent([]string{c.Class}), true)
		means := "the closest match"
		list = append(list, said{"route", to.Spec.Name, means, lines("route", to.Spec.Name)},
			said{"pool", to.Pool.Spec.Name, to.Pool.Describe(), lines("pool", to.Pool.Spec.Name)})
		policy := to.Policy.Effective(once).String()
		if once {
			policy += "; this class must never run twice"
		}
		k := said{What: "policy", Name: to.Spec.Policy, Means: policy}
		if k.Name != "" {
			k.Lines = lines("policy", k.Name)
		}
		list = append(list, k)
	}
	if c.JSON {
		if err := printJSON(env.Out, list); err != nil {
			return err
		}
	} else {
		for _, s := range list {
			fmt.Fprintf(env.Out, "%s %s: %s\n", s.What, orDash(s.Name), s.Means)
			for _, l := range s.Lines {
				fmt.Fprintf(env.Out, "    %s\n", l)
			}
		}
	}
	if to == nil || to.Pool == nil {
		return &exitError{status: exitFinding}
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
