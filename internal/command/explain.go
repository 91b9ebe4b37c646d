package command

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"crankhold/internal/lang"
	"crankhold/internal/route"
)

// explainCommand implements the command explain.
type explainCommand struct {
	File     string `arg:"" help:"The routes file." type:"path"`
	Front    string `help:"The front that the call comes by." enum:"thrift,webhook" default:"thrift"`
	Class    string `help:"Its class." required:""`
	Function string `help:"Its function, 16 hex digits." required:""`
	Tenant   string `help:"The tenant that a webhook names."`
	platformFlag
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints how the routes handle the request that the flags describe.
func (c explainCommand) Run(env Env) error {
	function, err := c.function()
	if err != nil {
		return err
	}
	r, err := c.loadRoutes(displayPath(c.File), env)
	if err != nil {
		return err
	}
	request, err := c.request(r, function)
	if err != nil {
		return err
	}
	table, err := r.Compile(r.Classes())
	if err != nil {
		return err
	}
	matched := table.Match(request)
	explanations := explain(r, matched, c.Class)
	if c.JSON {
		if err := printJSON(env.Out, explanations); err != nil {
			return err
		}
	} else {
		printExplanations(env.Out, explanations)
	}
	if matched == nil || matched.Pool == nil {
		return errFinding
	}
	return nil
}

// function parses the flag --function, which does not accept a pattern of functions.
func (c explainCommand) function() (uint64, error) {
	pattern, err := route.ParsePattern(c.Function)
	if err != nil || strings.HasSuffix(c.Function, "*") {
		return 0, usageError("--function: %q is no function of 16 hex digits", c.Function)
	}
	return pattern.Prefix, nil
}

// request returns the request that the flags describe. If neither the platform's settings nor the routes files list the
// classes, a class that no route names gets an index beyond those of the named ones.
func (c explainCommand) request(r *lang.Result, function uint64) (route.Request, error) {
	request := route.Request{Front: route.Thrift, Function: function, Tenant: c.Tenant}
	if c.Front == route.Webhook.String() {
		request.Front = route.Webhook
	}
	if request.Front == route.Thrift && c.Tenant != "" {
		return request, usageError("only webhooks name a tenant: --tenant requires --front=webhook")
	}
	classes := r.Classes()
	request.Class = slices.Index(classes, c.Class)
	if request.Class >= 0 {
		return request, nil
	}
	if r.ClassesComplete() {
		return request, usageError("--class: %q is not one of %s", c.Class, strings.Join(classes, ", "))
	}
	request.Class = len(classes)
	return request, nil
}

// explanation describes what one block of a routes file does with a request. The JSON output of explain is a list of
// them.
type explanation struct {
	Kind    string   `json:"what"` // route, pool or policy
	Name    string   `json:"name,omitempty"`
	Meaning string   `json:"means"`
	Lines   []string `json:"lines,omitempty"` // the lines that define the block, each after its position
}

// explain returns the explanations of the route, the pool and the policy that apply to a request of a class. matched is
// its route, or nil if no route matches.
func explain(r *lang.Result, matched *route.Route, class string) []explanation {
	switch {
	case matched == nil:
		return []explanation{{Kind: string(route.RouteBlock), Meaning: "none matches: refused at once"}}
	case matched.Pool == nil:
		return []explanation{explainBlock(r, route.RouteBlock, matched.Spec.Name, "refused at once")}
	}
	notIdempotent := r.NotIdempotent([]string{class})[0]
	policy := matched.Policy.Effective(notIdempotent).String()
	if notIdempotent {
		policy += "; this class must never run twice"
	}
	return []explanation{
		explainBlock(r, route.RouteBlock, matched.Spec.Name, "the closest match"),
		explainBlock(r, route.PoolBlock, matched.Pool.Spec.Name, matched.Pool.Describe()),
		explainBlock(r, route.PolicyBlock, matched.Spec.Policy, policy),
	}
}

// explainBlock returns the explanation of a block, with the lines that define it. The name is "" and there are no lines
// if a route has no policy.
func explainBlock(r *lang.Result, kind route.BlockKind, name, meaning string) explanation {
	e := explanation{Kind: string(kind), Name: name, Meaning: meaning}
	for _, line := range r.DefinitionLines(kind, name) {
		e.Lines = append(e.Lines, line.Pos.String()+": "+line.Line)
	}
	return e
}

func printExplanations(w io.Writer, explanations []explanation) {
	for _, e := range explanations {
		name := e.Name
		if name == "" {
			name = "-"
		}
		fmt.Fprintf(w, "%s %s: %s\n", e.Kind, name, e.Meaning)
		for _, line := range e.Lines {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}
