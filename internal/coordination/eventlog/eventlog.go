// Package eventlog reads and writes streams of the platform's log service. A stream
// is a sequence of records with offsets, which all readers read in the same order.
package eventlog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/platform"
)

// Kinds of error of a Log.
var (
	// ErrNotAppended means that an append certainly had no effect.
	ErrNotAppended = merry.Sentinel("log service did not take the records; append them again later")
	// ErrAppendUnknown means that an append may have taken effect.
	ErrAppendUnknown = merry.Sentinel("log service did not answer an append; read the tail of the stream to learn whether it took effect")
	// ErrUnavailable means that a read failed.
	ErrUnavailable = merry.Sentinel("log service can't be read; read again later")
)

// Log is the platform's log service.
type Log interface {
	// Append atomically appends records to a stream and returns the offset of the
	// first. The error is of the kind ErrNotAppended or ErrAppendUnknown.
	Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error)
	// Read returns at most limit records from an offset on. If there are none, it
	// waits up to wait for the next append. A page whose FirstOffset is greater than
	// from indicates a gap: retention removed the records between. The error is of
	// the kind ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error)
}
