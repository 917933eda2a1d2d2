package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// Verdict says what the log made of a change.
type Verdict string

const (
	// VerdictAccepted marks a document that was accepted.
	VerdictAccepted Verdict = "accepted"
	// VerdictRejected marks a document that was not.
	VerdictRejected Verdict = "rejected"
	// VerdictUndecided marks a document from before the oldest kept snapshot.
	VerdictUndecided Verdict = "undecided"
	// VerdictAutomatic marks a change that an instance made by itself.
	VerdictAutomatic Verdict = "automatic"
	// VerdictMissing marks records that retention removed.
	VerdictMissing Verdict = "missing"
)

// Entry is one line of the trail.
type Entry struct {
	Verdict Verdict
	// Document is the number of the document, or of the one that was in
	// force at an automatic change.
	Document int64
	// Time is the wall clock of who made the change; it orders nothing.
	Time string
	// Actor is the operator or the instance that made the change.
	Actor string
	// What says what was changed.
	What string
	// Why is the reason given, and for a rejected document also that of the
	// rejection.
	Why string
}

// String returns the entry as one line of text.
func (e Entry) String() string {
	return fmt.Sprintf("%-9s  document %d  %s  %s: %s: %s", e.Verdict, e.Document, e.Time, e.Actor, e.What, e.Why)
}

// Read returns the whole trail that the log keeps. The documents stand in the
// order of the configuration stream; each automatic change stands after the
// document that its instance had in force, in the order of the audit stream.
// The error is of the kind eventlog.ErrUnavailable or eventlog.ErrInconsistent.
func Read(ctx context.Context, log eventlog.Log, keys signed.OperatorKeys) ([]Entry, error) {
	documents, err := readDocuments(ctx, log, keys)
	if err != nil {
		return nil, err
	}
	changes, err := readChanges(ctx, log)
	if err != nil {
		return nil, err
	}
	return merge(documents, changes), nil
}

func readDocuments(ctx context.Context, log eventlog.Log, keys signed.OperatorKeys) ([]Entry, error) {
	byOffset := map[int64]Entry{}
	_, err := configuration.ReadToEnd(ctx, log, keys, func(offset int64, record *records.Configuration, err error) {
		if !record.Snapshot {
			// A record that is read again after a snapshot was found is
			// decided then, so that its entry is replaced.
			byOffset[offset] = documentEntry(record, err)
		}
	})
	if err != nil && !errors.Is(err, configuration.ErrUndecided) {
		return nil, err
	}
	offsets := make([]int64, 0, len(byOffset))
	for offset := range byOffset {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	entries := make([]Entry, 0, len(offsets))
	for _, offset := range offsets {
		entries = append(entries, byOffset[offset])
	}
	return entries, nil
}

func documentEntry(record *records.Configuration, err error) Entry {
	envelope := &record.Envelope
	entry := Entry{
		Verdict:  VerdictAccepted,
		Document: envelope.Number,
		Time:     envelope.SignedAt.Format(time.RFC3339),
		Actor:    envelope.Operator,
		What:     fmt.Sprintf("configuration document %.12s", envelope.Hash()),
		Why:      envelope.Reason,
	}
	switch {
	case errors.Is(err, configuration.ErrUndecided):
		entry.Verdict = VerdictUndecided
	case err != nil:
		entry.Verdict = VerdictRejected
		entry.Why += " (rejected: " + err.Error() + ")"
	}
	return entry
}

// changeCollector collects the audit stream.
type changeCollector struct{ entries []Entry }

// Gap implements eventlog.Consumer.
func (r *changeCollector) Gap(from, to int64) {
	r.entries = append(r.entries, Entry{
		Verdict: VerdictMissing,
		Actor:   "log service",
		What:    fmt.Sprintf("automatic changes %d to %d", from, to-1),
		Why:     "they are older than the log service keeps records",
	})
}

// Record implements eventlog.Consumer.
func (r *changeCollector) Record(offset int64, raw json.RawMessage) {
	var record records.Audit
	if err := json.Unmarshal(raw, &record); err != nil {
		r.entries = append(r.entries, Entry{Verdict: VerdictMissing, Actor: "log service", What: fmt.Sprintf("automatic change %d", offset), Why: "its record is unreadable"})
		return
	}
	r.entries = append(r.entries, Entry{
		Verdict:  VerdictAutomatic,
		Document: record.Document,
		Time:     record.Time,
		Actor:    record.Actor,
		What:     record.Action + " " + record.Subject,
		Why:      record.Reason,
	})
}

func readChanges(ctx context.Context, log eventlog.Log) ([]Entry, error) {
	reader := &changeCollector{}
	follower := eventlog.NewFollower(log, platform.StreamAudit, reader, eventlog.FollowerOptions{})
	for {
		if err := follower.Step(ctx, 0); err != nil {
			return nil, err
		}
		if follower.CaughtUp() {
			return reader.entries, nil
		}
	}
}

// merge puts each change before the first accepted document that is newer than
// the one it names.
func merge(documents, changes []Entry) []Entry {
	slices.SortStableFunc(changes, func(a, b Entry) int { return int(a.Document - b.Document) })
	merged := make([]Entry, 0, len(documents)+len(changes))
	for _, document := range documents {
		for len(changes) > 0 && document.Verdict == VerdictAccepted && changes[0].Document < document.Document {
			merged = append(merged, changes[0])
			changes = changes[1:]
		}
		merged = append(merged, document)
	}
	return append(merged, changes...)
}
