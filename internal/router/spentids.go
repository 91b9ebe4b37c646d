package router

import (
	"hash/maphash"
	"time"
)

// spentIDRetention is how long the ID of a request that must not run again is remembered. It is far longer than any
// deadline: a client that comes again later has given the request up for good.
const spentIDRetention = time.Minute

// spentIDSeed is the seed of the hashes of IDs.
var spentIDSeed = maphash.MakeSeed()

// spentIDs remembers the IDs of requests that may have run, must not run again, and are no longer in the request table:
// their clients have a response, or have gone. Only hashes are kept, so an ID may be taken for another one, once in
// 2^64 over the number of IDs. At its limit the oldest ID is forgotten. It belongs to the core's goroutine.
type spentIDs struct {
	limit   int                 // 0: no limit
	hashes  map[uint64]struct{} // of the IDs in order
	order   []spentID           // by the time at which they were added
	first   int                 // index of the oldest one in order
	evicted uint64              // IDs that were forgotten at the limit
}

// spentID is the hash of an ID, and when it was added.
type spentID struct {
	hash uint64
	at   time.Duration
}

// newSpentIDs returns an empty set.
func newSpentIDs(limit int) spentIDs { return spentIDs{limit: limit, hashes: map[uint64]struct{}{}} }

// add remembers an ID.
func (s *spentIDs) add(now time.Duration, id string) {
	s.forgetExpired(now)
	if s.limit > 0 && len(s.order)-s.first >= s.limit {
		s.forgetOldest()
		s.evicted++
	}
	hash := maphash.String(spentIDSeed, id)
	s.hashes[hash] = struct{}{}
	s.order = append(s.order, spentID{hash: hash, at: now})
}

// has reports whether an ID is remembered.
func (s *spentIDs) has(now time.Duration, id string) bool {
	s.forgetExpired(now)
	_, spent := s.hashes[maphash.String(spentIDSeed, id)]
	return spent
}

// forgetExpired forgets IDs that were added spentIDRetention ago, a few in each call, so that no call takes long.
func (s *spentIDs) forgetExpired(now time.Duration) {
	const maxForgotten = 2 // each call adds one at most
	for range maxForgotten {
		if s.first == len(s.order) || now-s.order[s.first].at <= spentIDRetention {
			return
		}
		s.forgetOldest()
	}
}

// forgetOldest forgets the oldest ID.
func (s *spentIDs) forgetOldest() {
	delete(s.hashes, s.order[s.first].hash)
	s.first++
	if s.first > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.first:]...)
		s.first = 0
	}
}
