package history

import (
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// BenchmarkSnapshotAfterYear measures a snapshot with the headers of a year at 1,200 versions a day.
func BenchmarkSnapshotAfterYear(b *testing.B) {
	const versions = 365 * 1200
	ops := newOperators()
	m := New(ops.public())
	v1 := demo(b)
	apply(b, m, ops.command(b, "ann", v1, nil))
	for v := uint64(2); v <= versions; v++ {
		h := m.headers.at(1)
		h.Root = bundle.Digest{byte(v), byte(v >> 8), byte(v >> 16)}
		m.headers.add(&h)
	}
	var data []byte
	for b.Loop() {
		data = m.Snapshot()
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	b.ReportMetric(float64(len(data))/versions, "bytes/version")
}
