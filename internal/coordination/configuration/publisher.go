package configuration

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/rs/xid"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// ErrConflict is the kind of error of a change that was made from a document
// which another operator replaced first.
var ErrConflict = merry.Sentinel("another change came first; look at it, and make yours again on top of it")

// Publisher publishes documents in the name of one operator.
type Publisher struct {
	Log      eventlog.Log
	Keys     signed.OperatorKeys
	Operator string
	Key      ed25519.PrivateKey
	Now      func() time.Time
}

// Load reads the stream to its end and returns the document in force, or nil
// before the first. The error is of the kind eventlog.ErrUnavailable,
// eventlog.ErrInconsistent or ErrUndecided.
func (p *Publisher) Load(ctx context.Context) (*InForce, error) {
	store, err := ReadToEnd(ctx, p.Log, p.Keys, nil)
	if err != nil {
		return nil, err
	}
	return store.Current(), nil
}

// ReadToEnd reads the configuration stream to its end and returns what it
// decided. The observer, where there is one, is told of every decision. The
// error is of the kind eventlog.ErrUnavailable or eventlog.ErrInconsistent,
// or of the kind ErrUndecided where retention removed the document in force
// and no instance has repeated it.
func ReadToEnd(ctx context.Context, log eventlog.Log, keys signed.OperatorKeys, observer Observer) (*Store, error) {
	store := NewStore(keys)
	follower := NewFollower(store, log)
	follower.silent = true
	if observer != nil {
		follower.Observe(observer)
	}
	for {
		if err := follower.Step(ctx, 0); err != nil {
			return nil, err
		}
		if follower.reader.CaughtUp() {
			break
		}
	}
	if offset, known := store.AsOf(); !known {
		return nil, merry.Prependf(ErrUndecided, "log keeps no snapshot of what was decided below offset %d", offset)
	}
	return store, nil
}

// Publish signs a document made from base, which is nil for the first of a
// fleet, publishes it, and returns it once it is accepted. An append whose
// answer is lost is looked for on the log and repeated until ctx ends; at most
// one copy can be accepted. The error is of the kind ErrOutrun where another
// change was accepted first; the returned document is then the one that won.
// Any other error leaves it open whether the document will be accepted,
// unless it is of the kind eventlog.ErrNotAppended or document.ErrInvalid.
func (p *Publisher) Publish(ctx context.Context, base *InForce, doc *document.Document, reason string) (*InForce, error) {
	if err := document.Validate(doc); err != nil {
		return nil, err
	}
	envelope, err := p.sign(base, doc, reason)
	if err != nil {
		return nil, err
	}
	record := records.Configuration{
		Writer:   records.Writer{Instance: "operator:" + p.Operator, Incarnation: xid.New().String(), Sequence: 1},
		Envelope: *envelope,
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, merry.Prepend(err, "encode configuration record")
	}
	return p.appendUntilDecided(ctx, base, envelope, raw)
}

func (p *Publisher) sign(base *InForce, doc *document.Document, reason string) (*signed.Envelope, error) {
	text, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	envelope := &signed.Envelope{
		BaseHash: base.hash(),
		Number:   base.number() + 1,
		Operator: p.Operator,
		Reason:   reason,
		SignedAt: p.Now().UTC(),
		Document: string(text),
	}
	if err := signed.Sign(envelope, p.Key); err != nil {
		return nil, err
	}
	return envelope, signed.Verify(envelope, p.Keys)
}

// appendUntilDecided appends a document until the stream decides on it. Once an
// append may have had its effect, no error of the kind ErrNotAppended is
// returned any more.
func (p *Publisher) appendUntilDecided(ctx context.Context, base *InForce, envelope *signed.Envelope, raw json.RawMessage) (*InForce, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = eventlog.MinBackoff, eventlog.MaxBackoff
	mayBeAppended := false
	for {
		_, err := p.Log.Append(ctx, platform.StreamConfiguration, []json.RawMessage{raw})
		mayBeAppended = mayBeAppended || err == nil || errors.Is(err, eventlog.ErrAppendUnknown)
		if !mayBeAppended {
			return nil, err
		}
		winner, decided, err := p.decide(ctx, base, envelope)
		if decided {
			return winner, err
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
			return nil, merry.Prependf(eventlog.ErrAppendUnknown, "document %d: %v", envelope.Number, err)
		}
	}
}

// decide reads what the stream made of a published document. It is undecided
// as long as the stream holds neither it nor another document on its base.
func (p *Publisher) decide(ctx context.Context, base *InForce, envelope *signed.Envelope) (winner *InForce, decided bool, err error) {
	hash := envelope.Hash()
	accepted := false
	var rejection error
	store, err := ReadToEnd(ctx, p.Log, p.Keys, func(_ int64, record *records.Configuration, err error) {
		switch {
		case record.Envelope.Hash() != hash:
		case err == nil:
			accepted = true
		default:
			rejection = err
		}
	})
	if err != nil {
		return nil, false, err
	}
	current := store.Current()
	switch {
	case current.hash() == hash:
		return current, true, nil
	case accepted:
		return p.acceptedAs(envelope), true, nil
	case current.number() < envelope.Number && rejection != nil:
		return current, true, rejection
	case current.number() < envelope.Number:
		return nil, false, merry.Prepend(eventlog.ErrAppendUnknown, "the document is not on the log yet")
	default:
		return current, true, merry.Prependf(ErrConflict, "document %d by %q (%s) is in force and changed %s; yours, number %d, is rejected",
			current.number(), current.Envelope.Operator, current.Envelope.Reason, changedSections(base, current), envelope.Number)
	}
}

// acceptedAs returns an own document that was accepted and that another one has
// acceptedAs since.
func (p *Publisher) acceptedAs(envelope *signed.Envelope) *InForce {
	accepted := &InForce{Envelope: *envelope, Hash: envelope.Hash(), Source: SourceLog, LearnedAt: p.Now()}
	if doc, err := document.Parse([]byte(envelope.Document)); err == nil {
		accepted.Index = document.NewIndex(doc)
	}
	return accepted
}

// changedSections names the top-level keys whose values differ.
func changedSections(before, after *InForce) string {
	old, fresh := decoded(before), decoded(after)
	var changed []string
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), fresh.Field(i).Interface()) {
			changed = append(changed, old.Type().Field(i).Tag.Get("yaml"))
		}
	}
	if len(changed) == 0 {
		return "nothing"
	}
	return strings.Join(changed, ", ")
}

// decoded returns the struct of an accepted document, empty for none.
func decoded(f *InForce) reflect.Value {
	doc := &document.Document{}
	if f != nil {
		if parsed, err := document.Decode([]byte(f.Envelope.Document)); err == nil {
			doc = parsed
		}
	}
	return reflect.ValueOf(doc).Elem()
}
