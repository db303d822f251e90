package node

import (
	"path/filepath"

	"github.com/hornbeamstack/hornbeamstack/internal/claims"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// claimLog adapts wal.Log to claims.ClosingLog.
type claimLog struct{ log *wal.Log }

// openClaimLog opens the claim log of a control host and returns its contents.
func openClaimLog(dataFolder, host string) (claims.ClosingLog, *claims.Recovered, error) {
	l, r, err := wal.Open(wal.Options{Folder: filepath.Join(dataFolder, "claim"), Host: host, Kind: "claim"})
	if err != nil {
		return nil, nil, err
	}
	return &claimLog{l}, recoveredClaims(r), nil
}

// recoveredClaims converts the recovered contents of the log.
func recoveredClaims(r *wal.Recovered) *claims.Recovered {
	out := &claims.Recovered{Incarnation: r.Identity.Incarnation, Fresh: r.Fresh, SnapshotIndex: r.SnapshotIndex, Snapshot: r.Snapshot, LastIndex: r.SnapshotIndex}
	for _, rec := range r.Records {
		out.Records = append(out.Records, rec.Data)
		out.LastIndex = max(out.LastIndex, rec.Index)
	}
	return out
}

// Append implements claims.Log.
func (c *claimLog) Append(first uint64, records [][]byte) error {
	recs := make([]wal.Record, len(records))
	for i, data := range records {
		recs[i] = wal.Record{Index: first + uint64(i), Data: data}
	}
	return c.log.Append(recs...)
}

// Close implements claims.ClosingLog.
func (c *claimLog) Close() error { return c.log.Close() }

// SaveSnapshot implements claims.Log.
func (c *claimLog) SaveSnapshot(index uint64, data []byte) error {
	return c.log.SaveSnapshot(index, data)
}

// storesOf returns the claim stores, which run on the control hosts.
func storesOf(members []settings.Member) []claims.Store {
	stores := make([]claims.Store, len(members))
	for i, m := range members {
		stores[i] = claims.Store{Name: m.Name, Peer: m.Peer}
	}
	return stores
}
