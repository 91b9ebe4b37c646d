package ledger

import (
	"testing"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }
