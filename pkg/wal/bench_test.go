package wal_test

import (
	"sync/atomic"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

func benchLog(b *testing.B) *wal.Log {
	l, _, err := wal.Open(wal.Options{Folder: b.TempDir(), Host: "h", Kind: "claim"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l
}

// BenchmarkAppend measures the latency of one durable record of 256 bytes.
func BenchmarkAppend(b *testing.B) {
	l, data := benchLog(b), make([]byte, 256)
	for i := 0; b.Loop(); i++ {
		if err := l.Append(wal.Record{Index: uint64(i), Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGroupCommit measures durable records of 256 bytes from 64 concurrent callers.
func BenchmarkGroupCommit(b *testing.B) {
	l, data := benchLog(b), make([]byte, 256)
	var index atomic.Uint64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := l.Append(wal.Record{Index: index.Add(1), Data: data}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
