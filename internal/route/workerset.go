package route

import "crankhold/policy"

// workerSet is a set of the workers of a list. Thousands of pools may each have thousands of workers, so it takes a bit
// for each worker.
type workerSet struct {
	positions map[policy.WorkerID]int32 // of all workers of the list; the sets of a list share it
	members   bitSet                    // positions
}

// contains reports whether a worker is in the set.
func (s workerSet) contains(w policy.WorkerID) bool {
	position, listed := s.positions[w]
	return listed && s.members.contains(position)
}

// size returns how many workers are in the set.
func (s workerSet) size() int { return s.members.count() }
