package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are left over, as each of them may hold a buffer,
// a connection or a slot.
func TestMain(m *testing.M) {
	// go-metrics runs one goroutine for all meters of the process and never ends it.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
