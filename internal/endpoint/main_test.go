package endpoint

import (
	"testing"
	"time"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const ms = time.Millisecond

var (
	unixSocket = Addr{Unix, "/run/w.sock"}
	ipv6       = Addr{TCP6, "[::1]:80"}
	otherIPv6  = Addr{TCP6, "[::2]:80"}
	ipv4       = Addr{TCP4, "127.0.0.1:80"}
	otherIPv4  = Addr{TCP4, "127.0.0.2:80"}
)
