package configuration_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
)

var errCut = merry.Sentinel("connection is cut")

// operatorKey returns the same key for a name each time.
func operatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func keysOf(names ...string) signed.OperatorKeys {
	keys := signed.OperatorKeys{}
	for _, name := range names {
		keys[name] = operatorKey(name).Public().(ed25519.PublicKey)
	}
	return keys
}

// documentWith returns a valid document that is told apart by a number.
func documentWith(micros int64) *document.Document {
	return &document.Document{
		Schema:         document.SchemaVersion,
		Models:         []document.Model{{Name: "small", Versions: []document.Version{{ID: "small-1", MicrosPerThousandTokens: micros, Quality: 0.5}}}},
		Cascades:       []document.Cascade{{Name: "draft", Steps: []string{"small"}, QualityTarget: 0.4, WhenWithdrawn: document.FallbackRefuse}},
		Kinds:          []document.Kind{{Name: "report", FirstTokenMillis: 1000, TotalMillis: 2000}},
		ClientAccounts: []document.ClientAccount{},
		FailureDomains: []document.FailureDomain{{Name: "a"}},
	}
}

// seal signs a document on a base; the content differs by mark.
func seal(t must.T, operator string, base *signed.Envelope, mark int64) *signed.Envelope {
	text, err := document.Encode(documentWith(mark))
	must.NoError(t, err)
	envelope := &signed.Envelope{Number: 1, Operator: operator, Reason: fmt.Sprint("change ", mark), Document: string(text)}
	if base != nil {
		envelope.BaseHash, envelope.Number = base.Hash(), base.Number+1
	}
	must.NoError(t, signed.Sign(envelope, operatorKey(operator)))
	return envelope
}

func rawRecord(t must.T, record records.Configuration) json.RawMessage {
	raw, err := json.Marshal(record)
	must.NoError(t, err)
	return raw
}

// node is one instance without its network and timers.
type node struct {
	name      string
	store     *configuration.Store
	follower  *configuration.Follower
	spread    *configuration.Replicator
	snapshots *configuration.Snapshotter
	buffered  *bufferingLog
	// number is the highest number that this run of the instance had in force.
	number int64
	// acceptedAtStart is how many documents were accepted before this run started.
	acceptedAtStart int64
}

// bufferingLog keeps appends back, as a paused process does.
type bufferingLog struct {
	eventlog.Log
	appends []json.RawMessage
}

func (h *bufferingLog) Append(_ context.Context, _ string, batch []json.RawMessage) (int64, error) {
	h.appends = append(h.appends, batch...)
	return 0, nil
}

// network carries exchanges between nodes by their names.
type network struct {
	nodes map[string]*node
	cut   bool
	// documents keeps the documents that were handed on, so that a stale peer
	// can do so again.
	documents []*configuration.Exchange
}

func (n *network) recordDocument(message *configuration.Exchange) {
	if message.Envelope != nil {
		n.documents = append(n.documents, copyOf(message))
	}
}

func (n *network) Exchange(_ context.Context, address string, question *configuration.Exchange) (*configuration.Exchange, error) {
	if n.cut {
		return nil, errCut
	}
	answer := n.nodes[address].spread.Answer(copyOf(question))
	n.recordDocument(question)
	n.recordDocument(answer)
	return answer, nil
}

// copyOf passes a message through its encoding.
func copyOf(message *configuration.Exchange) *configuration.Exchange {
	raw, _ := json.Marshal(message)
	var decoded configuration.Exchange
	_ = json.Unmarshal(raw, &decoded)
	return &decoded
}

// addressList implements configuration.Peers.
type addressList []string

func (a addressList) PeerAddresses() []string { return append([]string(nil), a...) }

func (n *network) start(name string, run int, service *logservice.Service, others []string) *node {
	store := configuration.NewStore(keysOf("anna", "ben"))
	held := &bufferingLog{Log: service}
	follower := configuration.NewFollower(store, service)
	started := &node{
		name:      name,
		store:     store,
		follower:  follower,
		buffered:  held,
		spread:    configuration.NewReplicator(name, fmt.Sprint(run), store, addressList(others), n),
		snapshots: configuration.NewSnapshotter(follower, held, nil, name, fmt.Sprint(run)),
	}
	n.nodes[name] = started
	return started
}

// history is an independent reading of everything that was ever appended.
type history struct {
	offset   int64
	accepted []*signed.Envelope
	// acceptedBelow holds for each offset how many documents were accepted below it.
	acceptedBelow []int
}

func (h *history) last() *signed.Envelope {
	if len(h.accepted) == 0 {
		return nil
	}
	return h.accepted[len(h.accepted)-1]
}

// read takes in what is new on the log before retention can remove it.
func (h *history) read(t must.T, service *logservice.Service) {
	page, err := service.Read(context.Background(), platform.StreamConfiguration, h.offset, 1<<20, 0)
	must.NoError(t, err)
	must.Eq(t, h.offset, page.FirstOffset)
	for _, raw := range page.Records {
		h.acceptedBelow = append(h.acceptedBelow, len(h.accepted))
		var record records.Configuration
		if json.Unmarshal(raw, &record) == nil && !record.Snapshot && h.accepts(&record.Envelope) {
			h.accepted = append(h.accepted, &record.Envelope)
		}
	}
	h.offset = page.Next
}

func (h *history) accepts(envelope *signed.Envelope) bool {
	number, hash := int64(0), ""
	if last := h.last(); last != nil {
		number, hash = last.Number, last.Hash()
	}
	return envelope.Number == number+1 && envelope.BaseHash == hash && signed.Verify(envelope, keysOf("anna", "ben")) == nil
}

// countBelow returns how many documents were accepted below an offset.
func (h *history) countBelow(offset int64) int64 {
	if offset >= int64(len(h.acceptedBelow)) {
		return int64(len(h.accepted))
	}
	return int64(h.acceptedBelow[offset])
}
