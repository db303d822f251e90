package replica

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

const walKind = "agree"

// journalRecord is the persistent part of one output. Indexes of the write-ahead
// log count these records, not the entries: an entry may be written more than
// once, and a later record replaces the entries that it overlaps.
type journalRecord struct {
	State   *agree.HardState `cbor:"1,keyasint,omitempty"`
	Install *agree.Snapshot  `cbor:"2,keyasint,omitempty"`
	Entries []agree.Entry    `cbor:"3,keyasint,omitempty"`
}

// persisted is the whole state from which a server continues after a restart.
type persisted struct {
	State    agree.HardState `cbor:"1,keyasint"`
	Snapshot agree.Snapshot  `cbor:"2,keyasint"`
	Entries  []agree.Entry   `cbor:"3,keyasint,omitempty"` // from Snapshot.Index+1
}

// journal stores the node's persistent state in a write-ahead log.
type journal struct {
	log  *wal.Log
	last uint64 // index of the last record written
}

// openJournal opens the write-ahead log and returns the state recovered from it.
func openJournal(o wal.Options) (*journal, *persisted, wal.Identity, error) {
	o.Kind = walKind
	l, found, err := wal.Open(o)
	if err != nil {
		return nil, nil, wal.Identity{}, err
	}
	p, err := replay(found)
	if err != nil {
		_ = l.Close()
		return nil, nil, wal.Identity{}, fmt.Errorf("replay %s: %w", o.Folder, err)
	}
	j := &journal{log: l, last: found.SnapshotIndex}
	if n := len(found.Records); n > 0 {
		j.last = found.Records[n-1].Index
	}
	return j, p, found.Identity, nil
}

func replay(found *wal.Recovered) (*persisted, error) {
	p := &persisted{}
	if found.Snapshot != nil {
		if err := cbor.Unmarshal(found.Snapshot, p); err != nil {
			return nil, fmt.Errorf("decode snapshot %d: %w", found.SnapshotIndex, err)
		}
	}
	for _, r := range found.Records {
		var record journalRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return nil, fmt.Errorf("decode record %d: %w", r.Index, err)
		}
		if err := p.add(&record); err != nil {
			return nil, fmt.Errorf("record %d: %w", r.Index, err)
		}
	}
	return p, nil
}

// add applies a record. It fails if the record leaves a gap between entries.
func (p *persisted) add(r *journalRecord) error {
	if r.State != nil {
		p.State = *r.State
	}
	if r.Install != nil {
		p.Snapshot, p.Entries = *r.Install, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first, next := r.Entries[0].Index, p.Snapshot.Index+uint64(len(p.Entries))+1
	if first <= p.Snapshot.Index || first > next {
		return fmt.Errorf("entry %d does not follow snapshot %d with %d entries", first, p.Snapshot.Index, len(p.Entries))
	}
	p.Entries = append(p.Entries[:first-p.Snapshot.Index-1], r.Entries...)
	return nil
}

// save makes the persistent part of an output durable.
func (j *journal) save(o *agree.Output) error {
	if o.State == nil && o.Install == nil && len(o.Entries) == 0 {
		return nil
	}
	data, err := cbor.Marshal(journalRecord{State: o.State, Install: o.Install, Entries: o.Entries})
	if err != nil {
		return fmt.Errorf("encode journal record: %w", err)
	}
	j.last++
	return j.log.Append(wal.Record{Index: j.last, Data: data})
}

// compact replaces all records up to index by p. It may run concurrently with
// save.
func (j *journal) compact(index uint64, p *persisted) error {
	data, err := cbor.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return j.log.SaveSnapshot(index, data)
}
