package capacity

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// recordBytes is the size of the data in each log record.
const recordBytes = 256

// storageSlopes measures the write-ahead log: its size and recovery time by the
// number of records, and the rate of synced appends by batch size.
func storageSlopes() ([]slope, error) {
	folder, err := os.MkdirTemp("", "hornbeam-capacity-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	size := slope{role: "control host", figure: fmt.Sprintf("log on disk, records of %d bytes", recordBytes), unit: "bytes", per: "record", planned: planChanges}
	recover := slope{role: "control host", figure: "recovery of the log", unit: "ms", per: "record", planned: planChanges}
	for _, n := range []int{1_000, 10_000, 50_000} {
		bytes, took, err := measureLog(filepath.Join(folder, fmt.Sprint("records-", n)), n)
		if err != nil {
			return nil, err
		}
		size.add(float64(n), bytes)
		recover.add(float64(n), took*1e3)
	}
	group := slope{role: "control host", figure: "synced appends", unit: "records/s", per: "record of a batch", planned: 64}
	for _, n := range []int{1, 8, 64} {
		rate, err := appendRate(filepath.Join(folder, fmt.Sprint("batch-", n)), n)
		if err != nil {
			return nil, err
		}
		group.add(float64(n), rate)
	}
	return []slope{size, recover, group}, nil
}

// openLog opens the claim log in folder, creating it if there is none.
func openLog(folder string) (*wal.Log, *wal.Recovered, error) {
	return wal.Open(wal.Options{Folder: folder, Host: "capacity", Kind: "claim"})
}

// measureLog writes a log of n records and returns its size on disk and the time
// that recovery takes when it is opened again.
func measureLog(folder string, n int) (bytes, seconds float64, err error) {
	l, _, err := openLog(folder)
	if err != nil {
		return 0, 0, err
	}
	const batch = 500
	for i := 0; i < n; i += batch {
		records := make([]wal.Record, batch)
		for k := range records {
			records[k] = wal.Record{Index: uint64(i + k + 1), Data: make([]byte, recordBytes)}
		}
		if err := l.Append(records...); err != nil {
			return 0, 0, err
		}
	}
	if err := l.Close(); err != nil {
		return 0, 0, err
	}
	seconds = perCall(1, func(int) {
		if l, _, err = openLog(folder); err == nil {
			err = l.Close()
		}
	})
	return folderBytes(folder), seconds, err
}

// folderBytes returns the total size of all files in folder.
func folderBytes(folder string) float64 {
	sum := 0.0
	_ = filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += float64(info.Size())
		}
		return err
	})
	return sum
}

// appendRate appends batches of records, syncing once for each batch, and returns
// the rate in records per second.
func appendRate(folder string, batch int) (float64, error) {
	l, _, err := openLog(folder)
	if err != nil {
		return 0, err
	}
	const syncs = 200
	seconds := perCall(1, func(int) {
		for i := range syncs {
			records := make([]wal.Record, batch)
			for k := range records {
				records[k] = wal.Record{Index: uint64(i*batch + k + 1), Data: make([]byte, recordBytes)}
			}
			if err = l.Append(records...); err != nil {
				return
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return float64(batch*syncs) / seconds, l.Close()
}
