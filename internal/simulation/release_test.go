package simulation

import (
	"fmt"
	"testing"
	"time"
)

// released is a quiet day before workers whose memory is full, on which four in ten functions are called in a new
// version from the fourth second on.
func released(t *testing.T, routers int, stays bool) *story {
	t.Helper()
	s := &story{}
	if err := s.routers(routers, 20, "answer misses"); err != nil {
		t.Fatal(err)
	}
	s.cfg.Functions, s.cfg.Copies, s.cfg.Stays = 100, 6, stays
	if err := s.build(); err != nil {
		t.Fatal(err)
	}
	s.fleet.Traffic("", 0, 600, 12*time.Second)
	s.fleet.After(4*time.Second, func() { s.fleet.Release(4) })
	s.fleet.Run(16 * time.Second)
	return s
}

// early is how many in a hundred calls for a new version were served in time, of those in its first four seconds.
func (s *story) early() (hundredths, n int) {
	return share(s.fleet.Calls, func(c *Call) bool { return c.New && c.At < time.Hour+8*time.Second }, servedIn(time.Second))
}

// A new version of what is called finds a way early: idle copies of the old one make room, and the orders that it takes
// stay within each router's ration, counted anew here.
func TestNewVersionsFindAWayOnAQuietDay(t *testing.T) {
	for _, routers := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := released(t, routers, false)
			got, n := s.early()
			t.Logf("%d in 100 of %d early calls for new versions were served in time", got, n)
			if got < 70 || n < 100 {
				t.Errorf("%d in 100 of %d early calls for new versions were served in time", got, n)
			}
			for i, r := range s.fleet.Routers {
				if r.Overdrawn > 0 || len(r.ordered) == 0 && routers < 100 {
					t.Errorf("router %d ordered %d loads, %d beyond its ration", i, len(r.ordered), r.Overdrawn)
				}
			}
			if err := s.oneAnswer(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards the check: where old copies don't make room, new versions find none.
func TestNewVersionsWithoutRoomAreNotServed(t *testing.T) {
	s := released(t, 30, true)
	if got, n := s.early(); got >= 70 {
		t.Errorf("%d in 100 of %d early calls were served where no copy made room", got, n)
	}
}
