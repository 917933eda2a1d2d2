package claims

import (
	"container/list"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	// answerOverhead is the memory of an answer besides its body: its struct, its texts and its place in the order.
	answerOverhead = 384
	// answerReads bounds the answers that are read from the log at the same time, since each is in memory several
	// times while it is decoded.
	answerReads = 8
	// answerReadTimeout bounds the wait for such a read.
	answerReadTimeout = 2 * time.Second
)

// Counters of answers. Those held are the ones in memory.
var (
	heldAnswers     = expvar.NewInt("claims_answers_held")
	heldAnswerBytes = expvar.NewInt("claims_answer_bytes")
	droppedAnswers  = expvar.NewInt("claims_answers_dropped")
	rereadAnswers   = expvar.NewInt("claims_answers_reread")
	failedRereads   = expvar.NewInt("claims_answer_read_failures")
)

// Kinds of errors of an answer that is not in memory.
var (
	errAnswerUnread  = merry.Sentinel("the log can't be read")
	errAnswerRemoved = merry.Sentinel("retention has removed the record from the log")
	// errAnswerElsewhere is an errAnswerUnread that another read does not change.
	errAnswerElsewhere = merry.Sentinel("the record at the offset is another one")
)

// answerMemory bounds the memory of answers. Those beyond the limit are dropped, in the order in which they were read;
// their record stays in the log. Except for unread, only the goroutine that reads the log uses it.
type answerMemory struct {
	// limit is the maximum of bytes; 0 sets none, and then nothing is counted.
	limit int64
	bytes int64
	// unread is the memory of answers that were not read back yet. Any goroutine uses it.
	unread atomic.Int64
	// order holds a *heldAnswer for each answer in memory, and byOffset its element.
	order    list.List
	byOffset map[int64]*list.Element
}

type heldAnswer struct {
	shard  *shard
	id     keyID
	offset int64
	bytes  int64
}

// sizeOf returns the memory of an answer. The allocator rounds a body up by an eighth at most.
func sizeOf(answer *records.KeptAnswer) int64 {
	return answerOverhead + int64(cap(answer.Body)+cap(answer.Body)/8+len(answer.ContentType))
}

// update counts the change of an entry.
func (m *answerMemory) update(s *shard, id keyID, old, fresh entry) {
	if m.limit == 0 || old.answer == nil && fresh.answer == nil {
		return
	}
	var element *list.Element
	if old.answer != nil {
		element = m.byOffset[old.offset]
		delete(m.byOffset, old.offset)
	}
	if element != nil {
		m.bytes -= element.Value.(*heldAnswer).bytes
	}
	switch {
	case fresh.answer == nil:
		if element != nil {
			m.order.Remove(element)
		}
	case element == nil:
		element = m.order.PushBack(&heldAnswer{})
		fallthrough
	default:
		held := heldAnswer{shard: s, id: id, offset: fresh.offset, bytes: sizeOf(fresh.answer)}
		*element.Value.(*heldAnswer) = held
		m.byOffset[held.offset] = element
		m.bytes += held.bytes
	}
	m.updateGauges()
}

func (m *answerMemory) updateGauges() {
	heldAnswers.Set(int64(m.order.Len()))
	heldAnswerBytes.Set(m.bytes)
}

// enforce drops answers until the others are within the limit.
func (m *answerMemory) enforce() {
	limit := m.limit - m.unreadLimit()
	if m.limit == 0 || m.bytes <= limit {
		return
	}
	for m.bytes > limit {
		element := m.order.Front()
		held := element.Value.(*heldAnswer)
		m.order.Remove(element)
		delete(m.byOffset, held.offset)
		m.bytes -= held.bytes
		held.shard.dropAnswer(held.id, held.offset)
		droppedAnswers.Add(1)
	}
	m.updateGauges()
}

// LimitAnswers bounds the memory of the answers that are kept, and of one page of the log; 0 sets no bound. It must
// be called before Run.
func (c *Coordinator) LimitAnswers(bytes, pageBytes int64) {
	c.answers.limit = bytes
	c.answers.byOffset = map[int64]*list.Element{}
	if pageBytes > 0 {
		c.pageRecords = int(max(1, min(readLimit, pageBytes/pageRecordBytes)))
	}
}

// dropAnswer drops the answer of a key from memory if it is that of the record at an offset.
func (s *shard) dropAnswer(id keyID, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	packed := id.pack()
	e := s.keys.get(packed).unpack(s.start)
	if e.phase == phaseDone && e.offset == offset {
		e.answer = nil
		s.keys.put(e.pack(packed, s.start))
	}
}

// readAnswer reads a dropped answer from the log, with one call. The error is of the kind errAnswerUnread or
// errAnswerRemoved.
func (c *Coordinator) readAnswer(ctx context.Context, id keyID, known entry) (*records.KeptAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerReadTimeout)
	defer cancel()
	select {
	case c.answerReads <- struct{}{}:
		defer func() { <-c.answerReads }()
	case <-ctx.Done():
		failedRereads.Add(1)
		return nil, merry.Prepend(errAnswerUnread, "too many answers are being read")
	}
	page, err := c.log.Read(ctx, platform.StreamClaims, known.offset, 1, 0)
	if err != nil {
		failedRereads.Add(1)
		return nil, merry.Prepend(errAnswerUnread, err.Error())
	}
	return answerIn(page, known.offset, id, known.claimID)
}

// answerIn returns the answer of a claim from a page of the log that should hold the record at an offset. The error
// is of the kind errAnswerUnread or errAnswerRemoved.
func answerIn(page *platform.ReadResponse, offset int64, id keyID, claimID string) (*records.KeptAnswer, error) {
	index := offset - page.FirstOffset
	if index < 0 {
		failedRereads.Add(1)
		return nil, errAnswerRemoved
	}
	if index >= int64(len(page.Records)) {
		failedRereads.Add(1)
		return nil, merry.Prepend(errAnswerUnread, "the log did not return the record")
	}
	var record records.Claim
	err := json.Unmarshal(page.Records[index], &record)
	if err != nil || record.Step != records.ClaimDone || record.Account != id.account || record.Key != id.key || record.ClaimID != claimID || record.Answer == nil {
		failedRereads.Add(1)
		return nil, fmt.Errorf("%w: %w", errAnswerUnread, errAnswerElsewhere)
	}
	rereadAnswers.Add(1)
	return record.Answer, nil
}
