package configuration

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/xid"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// ErrOutrun is the kind of error of a change that was made from a document
// which another operator replaced first.
var ErrOutrun = merry.Sentinel("another change came first; look at it, and make yours again on top of it")

// Publisher publishes documents in the name of one operator.
type Publisher struct {
	Log      eventlog.Log
	Keys     signed.OperatorKeys
	Operator string
	Key      ed25519.PrivateKey
	Now      func() time.Time
}

// Load reads the stream to its end and returns the document in force, or nil
// before the first.
func (p *Publisher) Load(ctx context.Context) (*InForce, error) {
	store, _, err := p.readToEnd(ctx)
	if err != nil {
		return nil, err
	}
	return store.Current(), nil
}

func (p *Publisher) readToEnd(ctx context.Context) (*Store, int64, error) {
	store := NewStore(p.Keys)
	follower := NewFollower(store, p.Log)
	for {
		before := follower.next
		if err := follower.Step(ctx, 0); err != nil {
			return nil, 0, err
		}
		if follower.next == before {
			return store, before, nil
		}
	}
}

// Publish signs a document made from base, which is nil for the first of a
// fleet, publishes it, and returns it once it is accepted. The error is of
// the kind ErrOutrun where another change was accepted first; the returned
// document is then the one that won. Any other error leaves it open whether
// the document will be accepted, unless it is of the kind
// eventlog.ErrNotAppended or document.ErrInvalid.
func (p *Publisher) Publish(ctx context.Context, base *InForce, doc *document.Document, reason string) (*InForce, error) {
	if err := document.Validate(doc); err != nil {
		return nil, err
	}
	envelope, err := p.seal(base, doc, reason)
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
	if _, err := p.Log.Append(ctx, platform.StreamConfiguration, []json.RawMessage{raw}); err != nil {
		return nil, err
	}
	return p.decide(ctx, envelope)
}

func (p *Publisher) seal(base *InForce, doc *document.Document, reason string) (*signed.Envelope, error) {
	text, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	envelope := &signed.Envelope{Number: 1, Operator: p.Operator, Reason: reason, SignedAt: p.Now().UTC(), Document: string(text)}
	if base != nil {
		envelope.BaseHash, envelope.Number = base.Hash, base.Envelope.Number+1
	}
	return envelope, signed.Sign(envelope, p.Key)
}

// decide reads what the stream made of a published document.
func (p *Publisher) decide(ctx context.Context, envelope *signed.Envelope) (*InForce, error) {
	store, _, err := p.readToEnd(ctx)
	if err != nil {
		return nil, err
	}
	current := store.Current()
	if current != nil && current.Hash == envelope.Hash() {
		return current, nil
	}
	return current, merry.Prependf(ErrOutrun, "document %d by %q is in force", current.number(), current.operator())
}

func (f *InForce) number() int64 {
	if f == nil {
		return 0
	}
	return f.Envelope.Number
}

func (f *InForce) operator() string {
	if f == nil {
		return ""
	}
	return f.Envelope.Operator
}
