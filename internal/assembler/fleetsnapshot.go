package assembler

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"radishspoke"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport"
)

// gzipEncoding is the name of the encoding of compressed snapshots in HTTP headers.
const gzipEncoding = "gzip"

// snapshotEncoder encodes snapshots as compressed JSON. It compresses each configuration once,
// as many entries ask for it at the same time. The zero value is ready to use.
type snapshotEncoder struct {
	mu     sync.Mutex
	table  *radishspoke.RoutingTable // nil at first
	member []byte                    // table as one member of a gzip file
}

// emptyTable is the start of the JSON of a snapshot without a configuration, which is its first
// field.
const emptyTable = `{"Table":null`

// encode returns a snapshot as a gzip file whose members, one after the other, are JSON (RFC
// 1952, section 2.2).
func (e *snapshotEncoder) encode(s fleetwatcher.Snapshot) ([]byte, error) {
	table := s.Table
	s.Table = nil
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if table == nil {
		return compress(data)
	}
	member, err := e.encodeTable(table)
	if err != nil {
		return nil, err
	}
	rest, err := compress(bytes.TrimPrefix(data, []byte(emptyTable)))
	if err != nil {
		return nil, err
	}
	begin, err := compress([]byte(`{"Table":`))
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{begin, member, rest}, nil), nil
}

// encodeTable returns the member with a configuration.
func (e *snapshotEncoder) encodeTable(t *radishspoke.RoutingTable) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == t {
		return e.member, nil
	}
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	member, err := compress(data)
	if err != nil {
		return nil, err
	}
	e.table, e.member = t, member
	return member, nil
}

// compress returns data as a gzip file with one member.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// snapshotMemoryShare is the part of the memory of a process that a decompressed snapshot may take.
const snapshotMemoryShare = 0.25

// snapshotLimit returns the maximum length in bytes of a decompressed snapshot in a process with
// the given memory, 0 if it has no limit.
func snapshotLimit(memory int64) int64 {
	if memory == 0 {
		return maxSnapshotJSONBytes
	}
	return min(maxSnapshotJSONBytes, int64(snapshotMemoryShare*float64(memory)))
}

// decodeSnapshot is the inverse of encode, or decodes plain JSON. The error wraps
// transport.ErrTooLong if the decompressed snapshot has more bytes than most.
func decodeSnapshot(data []byte, compressed bool, most int64) (fleetwatcher.Snapshot, error) {
	var s fleetwatcher.Snapshot
	if compressed {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return s, fmt.Errorf("decompress snapshot: %w", err)
		}
		if data, err = io.ReadAll(io.LimitReader(r, most+1)); err != nil {
			return s, fmt.Errorf("decompress snapshot: %w", err)
		}
		if int64(len(data)) > most {
			return s, fmt.Errorf("decompress snapshot to over %d bytes: %w", most, transport.ErrTooLong)
		}
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode snapshot: %w", err)
	}
	return s, nil
}
