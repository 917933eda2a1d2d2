package console

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

const (
	maxTrailEntries = 500 // of each stream
	trailReadPeriod = 30 * time.Second
)

// documentEntry is one published document in the audit trail.
type documentEntry struct {
	Number   int64
	Operator string
	Reason   string
	SignedAt time.Time
	Hash     string
	// Verdict says in plain words whether the document was accepted, or why not.
	Verdict  string
	Accepted bool
	// Changes is nil for a document that was not accepted, or if the document
	// before it is not known.
	Changes *document.Changes
}

// history reads the audit trail from the configuration stream and the audit
// stream, periodically and for each view of the page. It keeps the newest
// entries.
type history struct {
	log  eventlog.Log
	keys signed.OperatorKeys
	now  func() time.Time

	mu                  sync.Mutex
	store               *configuration.Store
	verdictsCertain     bool // false after records were lost to retention
	nextDocumentOffset  int64
	documents           []documentEntry
	nextAutomaticOffset int64
	automatic           []records.Audit
	readAt              time.Time
}

func newHistory(log eventlog.Log, keys signed.OperatorKeys, now func() time.Time) *history {
	return &history{log: log, keys: keys, now: now, store: configuration.NewStore(keys), verdictsCertain: true}
}

// trail is the content of the audit page, newest first.
type trail struct {
	Documents []documentEntry
	Automatic []records.Audit
	// ReadAt is the time when both streams were last read to their ends; zero
	// for never.
	ReadAt time.Time
	// Err is the error of the last read, or nil.
	Err error
}

// run reads the trail periodically until ctx ends, so that the page has recent
// entries while the log service is down.
func (h *history) run(ctx context.Context) error {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, logTimeout)
		h.read(readCtx)
		cancel()
		select {
		case <-time.After(trailReadPeriod):
		case <-ctx.Done():
		}
	}
	return nil
}

// read updates the trail from the log service and returns a copy. If the log
// service fails, the trail holds the entries read before and the error.
func (h *history) read(ctx context.Context) trail {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.readLocked(ctx)
	if err == nil {
		h.readAt = h.now()
	}
	result := trail{Documents: slices.Clone(h.documents), Automatic: slices.Clone(h.automatic), ReadAt: h.readAt, Err: err}
	slices.Reverse(result.Documents)
	slices.Reverse(result.Automatic)
	return result
}

func (h *history) readLocked(ctx context.Context) error {
	next, gap, err := readAll(ctx, h.log, platform.StreamConfiguration, h.nextDocumentOffset, h.addDocument)
	h.nextDocumentOffset = next
	h.verdictsCertain = h.verdictsCertain && !gap
	if err != nil {
		return err
	}
	h.nextAutomaticOffset, _, err = readAll(ctx, h.log, platform.StreamAudit, h.nextAutomaticOffset, h.addAutomatic)
	return err
}

func (h *history) addAutomatic(_ int64, raw json.RawMessage) {
	var record records.Audit
	if json.Unmarshal(raw, &record) != nil {
		return
	}
	repeated := slices.ContainsFunc(h.automatic, func(a records.Audit) bool { return a.Writer == record.Writer })
	if !repeated {
		h.automatic = keepNewest(append(h.automatic, record))
	}
}

func (h *history) addDocument(offset int64, raw json.RawMessage) {
	var record records.Configuration
	if json.Unmarshal(raw, &record) != nil {
		h.documents = keepNewest(append(h.documents, documentEntry{Verdict: "not accepted: the record is unreadable"}))
		return
	}
	if offset > 0 && h.nextDocumentOffset == 0 && len(h.documents) == 0 {
		h.verdictsCertain = false
	}
	hash := record.Envelope.Hash()
	repeated := slices.ContainsFunc(h.documents, func(e documentEntry) bool { return e.Hash == hash })
	before := h.store.Current()
	err := h.store.Apply(&record)
	if repeated {
		return
	}
	entry := documentEntry{
		Number:   record.Envelope.Number,
		Operator: record.Envelope.Operator,
		Reason:   record.Envelope.Reason,
		SignedAt: record.Envelope.SignedAt,
		Hash:     hash,
	}
	h.setVerdict(&entry, before, err)
	h.documents = keepNewest(append(h.documents, entry))
}

// setVerdict sets the verdict and the changes of an entry; err is the error of
// applying its record, or nil. After records were lost to retention, verdicts
// are certain again from the next accepted document on.
func (h *history) setVerdict(entry *documentEntry, before *configuration.InForce, err error) {
	switch {
	case err == nil:
		entry.Accepted, entry.Verdict = true, "accepted"
		if before != nil || h.verdictsCertain {
			entry.Changes = document.Compare(baseDocument(before), h.store.Current().Index.Document(), nil)
		}
		h.verdictsCertain = true
	case !h.verdictsCertain:
		entry.Verdict = "not known: the records before it are no longer kept"
	default:
		entry.Verdict = "not accepted: " + err.Error()
	}
}

func keepNewest[T any](entries []T) []T {
	if len(entries) <= maxTrailEntries {
		return entries
	}
	return slices.Clone(entries[len(entries)-maxTrailEntries:])
}
