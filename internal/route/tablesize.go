package route

// What the parts of a table take up in memory, in bytes: about as much as was allocated for tables of many such parts.
const (
	bytesPerRule      = 150 // a matchRule in the matcher
	bytesPerRuleClass = 16  // of a matchRule, for each class of the table
	bytesPerRoute     = 500
	bytesPerPool      = 4000 // with its counters
	bytesPerWorker    = 500
)

// bytesPerStep is about how much memory a step of a workLimit takes.
const bytesPerStep = 16

// maxSteps returns the limit on the steps of a computation about the table that may take as much memory as the table:
// as much as Spec.MaxBytes allows, or 0 for no limit.
func (t *Table) maxSteps() int { return t.maxBytes / bytesPerStep }

// tableSize estimates the memory that the compiled table of a spec takes, without compiling it.
type tableSize struct {
	classes []string
	bytes   int
}

// checkSize returns a TableSizeError if the table of a spec would take more memory than Spec.MaxBytes.
func checkSize(spec *Spec, classes []string) error {
	if spec.MaxBytes == 0 {
		return nil
	}
	size := tableSize{classes: classes}
	size.bytes = bytesPerPool*len(spec.Pools) + bytesPerWorker*len(spec.Workers)
	for _, r := range spec.Routes {
		size.addRoute(r)
		if size.bytes > spec.MaxBytes {
			return &TableSizeError{Route: r.Name, At: r.At, Rules: r.ruleCount(classes), MaxBytes: spec.MaxBytes}
		}
	}
	return nil
}

// addRoute adds the memory of a route and of its rules.
func (s *tableSize) addRoute(r RouteSpec) {
	s.bytes += bytesPerRoute + r.ruleCount(s.classes)*(bytesPerRule+bytesPerRuleClass*len(s.classes))
}

// ruleCount returns the length of what matchRules returns.
func (s RouteSpec) ruleCount(classes []string) int {
	return max(len(s.Functions), 1) * max(len(s.Tenants), 1) * len(s.classIndexes(classes)) * max(len(s.Fronts), 1)
}
