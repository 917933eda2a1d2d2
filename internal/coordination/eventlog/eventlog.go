// Package eventlog defines what the coordination layer needs of the platform's
// log service: streams of records with offsets, appended in one order that
// every reader sees.
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
	// Append appends records to a stream, all or none, and returns the offset
	// of the first. The error is of the kind ErrNotAppended or
	// ErrAppendUnknown.
	Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error)
	// Read returns at most limit records from an offset on. Where there are
	// none it waits up to wait for the next append. A page whose FirstOffset
	// lies above from shows a gap through retention. The error is of the
	// kind ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error)
}
