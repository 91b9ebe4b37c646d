package lang

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// Class is a class of calls.
type Class struct {
	Name             string
	NotIdempotent    bool          // must never run twice
	Deadline         time.Duration // 0: not known
	LatencyObjective time.Duration // 0: not known
}

// alwaysOnce is the class that must never run twice whatever a file or the settings say.
const alwaysOnce = "repair-order"

// Platform is what the platform's settings say that a configuration may not contradict.
type Platform struct {
	Classes        []Class
	MaxAttempts    int // 0: no limit
	HedgingAllowed bool
	Kinds          []string
	KindMemoryMB   map[string]float64
	Zones          []string
	LoadWindow     time.Duration
}

// Result is what became of a configuration.
type Result struct {
	Spec   route.Spec
	Faults syntax.Faults // any of them makes the configuration unusable
	Notes  syntax.Faults // what is allowed and may not be meant
	Files  []string      // that were read
	lines  map[string][]syntax.Fault
	known  []Class // classes of the platform or of the files' own class blocks
	closed bool    // there are no further ones
}

// Check reads a file and all that it includes, and checks them; platform may be nil. An error is of the
// first file alone: it can't be read at all.
func Check(fsys fs.FS, name, prefix string, platform *Platform) (*Result, error) {
	l := &loader{fsys: fsys, prefix: prefix, sources: map[string]*syntax.Source{}, from: map[string][]string{}}
	if err := l.load(name, nil); err != nil {
		return nil, fmt.Errorf("%s: %w", path.Join(prefix, name), plain(err))
	}
	c := &checker{sources: l.sources, platform: platform, res: &Result{Faults: l.faults, lines: map[string][]syntax.Fault{}},
		names: map[string]map[string]*block{}, used: map[string]map[string]bool{}, unsure: map[string]bool{}, whole: len(l.faults) == 0}
	for _, f := range l.files {
		c.res.Files = append(c.res.Files, f.Name)
		for _, e := range f.Entries {
			if b, ok := e.(*syntax.Block); ok {
				c.block(b)
			}
		}
	}
	for _, k := range kinds {
		if k.check != nil {
			k.check(c)
		}
	}
	if len(c.res.Faults) == 0 {
		c.together()
	}
	c.res.Faults.Sort()
	c.res.Notes.Sort()
	return c.res, nil
}

// kinds are the blocks that a file may hold. A further one is added here, with a file of its own.
var kinds = []*kind{workerKind, classKind, routeKind, poolKind, policyKind}

// kind says what a kind of block is called, what it holds, and what is made of it.
type kind struct {
	word     string
	label    bool
	settings map[string]setting
	blocks   []*kind
	free     bool // settings of any name take strings
	build    func(*checker, *block)
	check    func(*checker) // once all blocks are built
}

type setting struct {
	reads reads
	list  bool
}

// block is a block whose settings have been read.
type block struct {
	at     syntax.Pos
	src    *syntax.Source
	label  string
	set    map[string][]value
	places map[string]syntax.Pos
	blocks []*block
	kind   *kind
}

// has tells whether a setting is given.
func (b *block) has(name string) bool { return len(b.set[name]) > 0 }

// given tells whether a setting is there, its value read or not.
func (b *block) given(name string) bool { return b.places[name].Valid() }

// one returns a setting's value; the zero value where it isn't given.
func (b *block) one(name string) value {
	if !b.has(name) {
		return value{}
	}
	return b.set[name][0]
}

// texts returns a list of strings or words.
func (b *block) texts(name string) (list []string) {
	for _, v := range b.set[name] {
		list = append(list, v.text)
	}
	return list
}

type checker struct {
	sources  map[string]*syntax.Source
	platform *Platform
	res      *Result
	names    map[string]map[string]*block // by kind
	used     map[string]map[string]bool
	unsure   map[string]bool // kinds that something names which is not there, or can't be read
	whole    bool            // all files were read without a fault: what is missing is missing
	policies map[string]*policyBlock
	order    []*policyBlock
}

func (c *checker) fault(b *block, at syntax.Pos, format string, args ...any) {
	c.res.Faults = append(c.res.Faults, b.src.Fault(at, format, args...))
}

func (c *checker) note(b *block, at syntax.Pos, format string, args ...any) {
	c.res.Notes = append(c.res.Notes, b.src.Fault(at, format, args...))
}

// block reads a block at the top of a file, and has its kind make something of it.
func (c *checker) block(b *syntax.Block) {
	src := c.sources[b.At.File]
	var words []string
	for _, k := range kinds {
		if k.word == b.Word {
			if r := c.read(b, k, src); r != nil {
				c.name(r)
				k.build(c, r)
			}
			return
		}
		words = append(words, k.word)
	}
	c.res.Faults = append(c.res.Faults, src.Fault(b.At, "unknown block %s%s", b.Word, suggest(b.Word, append(words, "include"))))
}

// read reads a block's label, settings and blocks. It returns nil for one without its name.
func (c *checker) read(b *syntax.Block, k *kind, src *syntax.Source) *block {
	r := &block{at: b.At, src: src, kind: k, set: map[string][]value{}, places: map[string]syntax.Pos{}}
	switch {
	case k.label && b.Label == nil:
		c.fault(r, b.At, "a %s needs a name: %s \"...\" {", k.word, k.word)
		return nil
	case !k.label && b.Label != nil:
		c.fault(r, b.Label.At, "%s takes no name", k.word)
	case k.label:
		v, wrong := text(*b.Label)
		if wrong != "" {
			c.fault(r, b.Label.At, "the name of a %s %s", k.word, wrong)
			return nil
		}
		r.label = v.text
	}
	for _, e := range b.Entries {
		switch e := e.(type) {
		case *syntax.Setting:
			c.setting(r, e)
		case *syntax.Block:
			c.inner(r, e)
		}
	}
	return r
}

func (c *checker) setting(r *block, e *syntax.Setting) {
	s, ok := r.kind.settings[e.Name]
	if r.kind.free {
		s, ok = setting{text, true}, true
	}
	if !ok {
		c.fault(r, e.At, "unknown setting %s in %s%s", e.Name, r.kind.word, suggest(e.Name, slices.Sorted(maps.Keys(r.kind.settings))))
		return
	}
	if first, again := r.places[e.Name]; again {
		c.fault(r, e.At, "%s is given twice, first at %v", e.Name, first)
		return
	}
	r.places[e.Name] = e.At
	if len(e.Values) > 1 && !s.list {
		c.fault(r, e.Values[1].At, "%s takes one value", e.Name)
		return
	}
	seen := map[string]bool{}
	for _, raw := range e.Values {
		v, wrong := s.reads(raw)
		switch {
		case wrong != "":
			c.fault(r, raw.At, "%s %s", e.Name, wrong)
		case seen[raw.Text()]:
			c.fault(r, raw.At, "%s has %s twice", e.Name, raw.Raw)
		default:
			r.set[e.Name] = append(r.set[e.Name], v)
		}
		seen[raw.Text()] = true
	}
}

func (c *checker) inner(r *block, e *syntax.Block) {
	var words []string
	for _, k := range r.kind.blocks {
		if k.word == e.Word {
			if in := c.read(e, k, r.src); in != nil {
				r.blocks = append(r.blocks, in)
			}
			return
		}
		words = append(words, k.word)
	}
	c.fault(r, e.At, "unknown block %s in %s%s", e.Word, r.kind.word, suggest(e.Word, words))
}

// name notes a block's name, which is its own among its kind.
func (c *checker) name(b *block) {
	if !b.kind.label {
		return
	}
	m := c.names[b.kind.word]
	if m == nil {
		m = map[string]*block{}
		c.names[b.kind.word] = m
	}
	if first := m[b.label]; first != nil {
		c.fault(b, b.at, "%s %q is defined twice, first at %v", b.kind.word, b.label, first.at)
		return
	}
	m[b.label] = b
	c.line(b.kind.word+" "+b.label, b, b.at)
	for _, name := range slices.Sorted(maps.Keys(b.places)) {
		c.line(b.kind.word+" "+b.label, b, b.places[name])
	}
}

// line keeps a line that says something of a name, for those who ask why.
func (c *checker) line(of string, b *block, at syntax.Pos) {
	f := b.src.Fault(at, "")
	f.Line = strings.TrimSpace(f.Line)
	c.res.lines[of] = append(c.res.lines[of], f)
}

// refer notes that a setting, if it is given, names a block of some kind, and tells whether there is one.
func (c *checker) refer(b *block, set, word string) bool {
	v := b.one(set)
	if !b.has(set) {
		c.unsure[word] = c.unsure[word] || b.given(set)
		return false
	}
	if c.used[word] == nil {
		c.used[word] = map[string]bool{}
	}
	c.used[word][v.text] = true
	if c.names[word][v.text] != nil {
		return true
	}
	c.unsure[word] = true
	if c.whole {
		c.fault(b, v.at, "no %s %q%s", word, v.text, suggest(v.text, slices.Sorted(maps.Keys(c.names[word]))))
	}
	return false
}

// unused tells of names that nothing refers to. Where some name is mistyped it may be the one that was meant.
func (c *checker) unused(word, by string) {
	if !c.whole || c.unsure[word] {
		return
	}
	for name, b := range c.names[word] {
		if !c.used[word][name] {
			c.fault(b, b.at, "%s %q is not used by any %s", word, name, by)
		}
	}
}

// listed returns the classes that are known, and whether there are no others.
func (c *checker) listed() (list []Class, closed bool) {
	if c.platform != nil {
		for _, k := range c.platform.Classes {
			k.NotIdempotent = k.NotIdempotent || k.Name == alwaysOnce || c.res.once(k.Name)
			list = append(list, k)
		}
		return list, true
	}
	if len(c.names["class"]) > 0 {
		return c.res.known, true
	}
	names := map[string]bool{alwaysOnce: true}
	for _, r := range c.res.Spec.Routes {
		for _, k := range r.Classes {
			names[k] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		list = append(list, Class{Name: n, NotIdempotent: n == alwaysOnce})
	}
	return list, false
}

// once tells whether a class block says that a class must never run twice.
func (r *Result) once(name string) bool {
	return slices.ContainsFunc(r.known, func(k Class) bool { return k.Name == name && k.NotIdempotent })
}

// together checks what routes, pools and policies are as a whole.
func (c *checker) together() {
	classes, closed := c.listed()
	c.res.known, c.res.closed = classes, closed
	if c.platform != nil {
		c.res.Spec.LoadWindow = c.platform.LoadWindow
	}
	t, err := route.Compile(&c.res.Spec, c.res.Classes())
	if err != nil {
		if a := (*route.AmbiguousRoutesError)(nil); errors.As(err, &a) {
			b := c.names["route"][a.Second.Name]
			c.fault(b, b.at, "%v", err)
			return
		}
		for _, b := range c.names["route"] { // the checks above should have found it
			c.fault(b, b.at, "%v", err)
			return
		}
		return
	}
	reached := t.Reachable()
	if closed {
		for i := range reached {
			reached[i] = reached[i][:len(classes)]
		}
	}
	for i, r := range t.Routes() {
		b := c.names["route"][r.Spec.Name]
		if !slices.Contains(reached[i], true) {
			c.fault(b, b.at, "route %q can't be reached: closer matches take all of its calls", r.Spec.Name)
			continue
		}
		for k, class := range classes {
			if reached[i][k] && r.Pool != nil && r.Spec.Policy != "" {
				c.policyFits(b, r.Spec.Policy, class)
			}
		}
	}
	first := c.names["route"][t.Routes()[0].Spec.Name]
	for _, h := range t.UnmatchedRegions(!closed) {
		c.note(first, first.at, "no route takes %v; they are refused (%v)", h, h.Example)
	}
}

// Classes returns the names of the classes that the configuration can tell apart.
func (r *Result) Classes() (names []string) {
	for _, k := range r.known {
		names = append(names, k.Name)
	}
	return names
}

// Closed tells whether there are no further classes.
func (r *Result) Closed() bool { return r.closed }

// Once tells for each of some classes whether it must never run twice.
func (r *Result) Once(names []string) (once []bool) {
	for _, n := range names {
		once = append(once, n == alwaysOnce || r.once(n))
	}
	return once
}

// Lines returns the lines that say something of a route, a pool or a policy, each as a fault with no message.
func (r *Result) Lines(word, name string) []syntax.Fault { return r.lines[word+" "+name] }

// Err returns the faults as an error, or nil.
func (r *Result) Err() error { return r.Faults.Err() }

// Diff tells what a configuration changes in behaviour against another.
func Diff(old, new *Result) ([]route.Change, error) {
	names := old.Classes()
	for _, n := range new.Classes() {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	var once []bool
	for i, a := range old.Once(names) {
		once = append(once, a && new.Once(names)[i])
	}
	o, err := route.Compile(&old.Spec, names)
	if err != nil {
		return nil, err
	}
	n, err := route.Compile(&new.Spec, names)
	if err != nil {
		return nil, err
	}
	return route.Diff(o, n, once, !old.closed || !new.closed), nil
}
