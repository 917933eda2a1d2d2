package claims

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

// pageReadTimeout bounds the read of a page of a snapshot. No caller waits for it, and a page may hold several MB.
const pageReadTimeout = 10 * time.Second

// droppedReader reads the dropped answers of a snapshot from the log, in order and in pages. A page begins with a dropped
// answer and ends with the last answer within pageRecords. So a snapshot makes at most one read for each pageRecords
// records of the part of the log that it covers, and reads each of them at most once. The records between answers are
// read and discarded; before, answers more than 8 records apart took a read each.
type droppedReader struct {
	c    *Coordinator
	page *platform.ReadResponse
}

// restore sets the dropped answer of a snapshot record, whose Origin is the record that holds it. The places that
// follow in the snapshot determine how much is read at once. An answer that retention has removed is lost:
// its record becomes one of a call whose answer was lost, which still blocks the key. Any other failure is returned.
func (d *droppedReader) restore(ctx context.Context, record *records.Claim, following []place) error {
	if !d.has(record.Origin) {
		if err := d.read(ctx, record.Origin, following); err != nil {
			return err
		}
	}
	id := keyID{account: record.Account, key: record.Key}
	answer, err := answerIn(d.page, record.Origin, id, record.ClaimID)
	switch {
	case err == nil:
		record.Answer = answer
		return nil
	case errors.Is(err, errAnswerRemoved):
		record.Step = records.ClaimUnknown
		return nil
	default:
		return err
	}
}

// has reports whether the page read last determines the record at an offset.
func (d *droppedReader) has(offset int64) bool {
	return d.page != nil && offset < d.page.FirstOffset+int64(len(d.page.Records))
}

// read reads the page that begins at an offset and ends with the last answer that fits. One that is in memory counts, since it
// may be dropped during the sweep.
func (d *droppedReader) read(ctx context.Context, from int64, following []place) error {
	last := from
	for _, next := range following {
		if next.offset-from >= int64(d.c.pageRecords) {
			break
		}
		if next.answered {
			last = next.offset
		}
	}
	d.page = nil // two pages would take twice the memory
	ctx, cancel := context.WithTimeout(ctx, pageReadTimeout)
	defer cancel()
	page, err := d.c.log.Read(ctx, platform.StreamClaims, from, int(last-from)+1, 0)
	if err != nil {
		failedRereads.Add(1)
		return merry.Prepend(errAnswerUnread, err.Error())
	}
	if d.page = page; !d.has(from) {
		failedRereads.Add(1)
		return merry.Prepend(errAnswerUnread, "the log did not return the record")
	}
	return nil
}
