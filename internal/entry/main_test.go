package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// A goroutine that outlives its request holds a buffer, a connection or a slot.
func TestMain(m *testing.M) {
	// go-metrics runs one goroutine for all meters of the process, without an end.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
