package configuration

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/protocol/signed"
)

const (
	// PullInterval is the mean time between two pulls of one instance.
	PullInterval = time.Second
	// PushFanout is the number of peers that a new document is pushed to.
	PushFanout = 3
	// maxNeighbours is the number of fixed peers among which pulls choose.
	maxNeighbours = 6
	// randomPeerEvery is the number of pulls of which, on average, one goes to any
	// peer rather than to a neighbour.
	randomPeerEvery = 16
	// fallbackPeers is the number of peers that are called instead of one that
	// did not answer.
	fallbackPeers = 2
	// exchangeTimeout bounds one call.
	exchangeTimeout = 500 * time.Millisecond
)

var (
	exchanges      = expvar.NewInt("configuration_exchanges")
	exchangeErrors = expvar.NewInt("configuration_exchange_errors")
	documentsSent  = expvar.NewInt("configuration_documents_sent")
	keyMismatches  = expvar.NewInt("configuration_peer_key_mismatches")
)

// Exchange is the request and the response of an exchange between two instances.
type Exchange struct {
	Digest Digest `json:"digest"`
	// Envelope is the signed document, where the receiver has an older one; nil
	// otherwise.
	Envelope *signed.Envelope `json:"envelope,omitempty"`
}

// Transport sends an exchange to the instance at a control address and returns
// its response.
type Transport interface {
	Exchange(ctx context.Context, address string, question *Exchange) (*Exchange, error)
}

// Peers lists the control addresses of the other entry instances. The caller may
// change the returned slice.
type Peers interface {
	PeerAddresses() []string
}

// Replicator replicates the document in force to all instances: it pushes a new
// document to a few random peers, and exchanges with one of a few neighbours at
// random intervals, which repairs missed pushes (push and anti-entropy after
// Demers et al., "Epidemic algorithms for replicated database maintenance",
// PODC 1987).
type Replicator struct {
	self      string
	store     *Store
	peers     Peers
	transport Transport

	mu     sync.Mutex
	random *rand.Rand
}

// NewReplicator returns the replicator of one run of an instance.
func NewReplicator(instance, incarnation string, store *Store, peers Peers, transport Transport) *Replicator {
	return &Replicator{self: instance, store: store, peers: peers, transport: transport, random: newRandom(instance, incarnation)}
}

// newRandom returns a random source with a seed that differs between instances
// and between their runs.
func newRandom(instance, incarnation string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(instance), xxhash.Sum64String(incarnation)))
}

// randomBelow returns a random number below n.
func (r *Replicator) randomBelow(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// Run pushes each new document and pulls at random intervals until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	var pushes errgroup.Group
	pushed := int64(0)
	for {
		changed := r.store.Changed()
		if number := r.store.Current().number(); number > pushed {
			pushed = number
			pushes.Go(func() error { return r.Push(ctx) })
		}
		timer := time.NewTimer(PullInterval/2 + time.Duration(r.randomBelow(int(PullInterval))))
		select {
		case <-changed:
		case <-timer.C:
			r.Pull(ctx)
		case <-ctx.Done():
			timer.Stop()
			return pushes.Wait()
		}
		timer.Stop()
	}
}

// Push exchanges with a few random peers. It does not retry; peers that it
// doesn't reach receive the document by a pull.
func (r *Replicator) Push(ctx context.Context) error {
	return r.exchangeAll(ctx, r.randomPeers(PushFanout))
}

// randomPeers returns at most n random peers.
func (r *Replicator) randomPeers(n int) []string {
	addresses := r.peers.PeerAddresses()
	for i := range min(n, len(addresses)) {
		j := i + r.randomBelow(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(n, len(addresses))]
}

func (r *Replicator) exchangeAll(ctx context.Context, addresses []string) error {
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			r.exchangeWith(ctx, address)
			return nil
		})
	}
	return group.Wait()
}

// Pull exchanges with a random neighbour, or occasionally with any peer. If that
// peer does not answer, Pull exchanges with a few random peers at once.
func (r *Replicator) Pull(ctx context.Context) {
	addresses := r.peers.PeerAddresses()
	if len(addresses) == 0 {
		return
	}
	if r.randomBelow(randomPeerEvery) != 0 {
		addresses = r.neighbours(addresses)
	}
	if !r.exchangeWith(ctx, addresses[r.randomBelow(len(addresses))]) {
		_ = r.exchangeAll(ctx, r.randomPeers(fallbackPeers))
	}
}

// neighbours returns a stable selection of the given addresses by rendezvous
// hashing, so that connections are reused.
func (r *Replicator) neighbours(addresses []string) []string {
	weight := func(address string) uint64 { return xxhash.Sum64String(r.self + "\n" + address) }
	chosen := slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		if wa, wb := weight(a), weight(b); wa != wb {
			if wa < wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return chosen[:min(maxNeighbours, len(chosen))]
}

// exchangeWith brings this instance and one peer to the newer of their documents.
// If the peer has an older one, a second call sends it the document. It reports
// whether the peer answered.
func (r *Replicator) exchangeWith(ctx context.Context, address string) bool {
	exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := r.store.Digest()
	answer, err := r.transport.Exchange(ctx, address, &Exchange{Digest: sent})
	if err != nil {
		exchangeErrors.Add(1)
		return false
	}
	r.apply(answer)
	if answer.Digest.Number >= sent.Number {
		return true
	}
	if _, err := r.transport.Exchange(ctx, address, r.message(answer.Digest.Number)); err != nil {
		exchangeErrors.Add(1)
		return false
	}
	return true
}

// Answer applies the exchange of a peer and returns the response to it.
func (r *Replicator) Answer(question *Exchange) *Exchange {
	r.apply(question)
	return r.message(question.Digest.Number)
}

// message returns the digest of this instance, with the document where that of
// the peer has a lower number.
func (r *Replicator) message(peerNumber int64) *Exchange {
	message := &Exchange{Digest: r.store.Digest()}
	if current := r.store.Current(); current.number() > peerNumber {
		message.Envelope = &current.Envelope
		documentsSent.Add(1)
	}
	return message
}

// apply applies the digest and the document of a peer.
func (r *Replicator) apply(message *Exchange) {
	if message.Digest.Keys != keysDigest(r.store.keys) {
		keyMismatches.Add(1)
	}
	if envelope := message.Envelope; envelope != nil && envelope.Number > r.store.Current().number() {
		if err := r.store.ApplyFromPeer(envelope); err != nil {
			logrus.WithField("number", envelope.Number).WithError(err).Warn("configuration document of a peer is not accepted")
		}
	}
	r.store.recordPeerDigest(message.Digest)
}
