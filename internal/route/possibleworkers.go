package route

// PossibleWorkers tells which selectors may match one of a list of workers of which some properties are not known. It
// is for checks of a configuration, whose static entries leave properties to discovery. It must not be used
// concurrently.
type PossibleWorkers struct{ index *workerIndex }

// NewPossibleWorkers returns a PossibleWorkers of these workers. The kind, zone, cell and memory of a worker are
// unknown if they have their zero values.
func NewPossibleWorkers(workers []Worker) *PossibleWorkers {
	index := newWorkerIndex(workers)
	limit := len(workers)
	index.unknown = unknownProperties{
		kinds:  newBitSet(limit),
		zones:  newBitSet(limit),
		cells:  newBitSet(limit),
		memory: newBitSet(limit),
	}
	for i, w := range workers {
		index.unknown.add(int32(i), w)
	}
	return &PossibleWorkers{index}
}

// add adds an entry to the sets of the properties that it lacks.
func (u *unknownProperties) add(entry int32, w Worker) {
	if w.Kind == "" {
		u.kinds.add(entry)
	}
	if w.Zone == "" {
		u.zones.add(entry)
	}
	if !w.Cell.IsKnown() {
		u.cells.add(entry)
	}
	if w.MemoryMB == 0 {
		u.memory.add(entry)
	}
}

// MayMatch reports whether one of the workers meets each condition of a selector that is on a known property.
func (p *PossibleWorkers) MayMatch(s Selector) bool { return p.index.matching(s).count() > 0 }
