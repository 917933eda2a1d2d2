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
	// PullInterval is the mean time between two exchanges with one neighbour.
	PullInterval = time.Second
	// PushFanout is the number of peers that are told of a new document.
	PushFanout = 3
	// maxNeighbours is the number of peers that are asked in turn.
	maxNeighbours = 6
	// randomPeerEvery is the share of exchanges, one in so many, with any peer.
	randomPeerEvery = 16
	// fallbackPeers is the number of peers that are asked in the place of one
	// that did not answer.
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

// Exchange is what two instances tell each other, as question and as answer.
type Exchange struct {
	Digest Digest `json:"digest"`
	// Envelope is the document, where the other side has an older one.
	Envelope *signed.Envelope `json:"envelope,omitempty"`
}

// Transport carries an exchange to the instance at a control address.
type Transport interface {
	Exchange(ctx context.Context, address string, question *Exchange) (*Exchange, error)
}

// Peers knows the control addresses of the other entry instances.
type Peers interface {
	PeerAddresses() []string
}

// Replicator keeps the document in force the same on all instances: a new one is
// pushed to a few random peers, and one of a few neighbours is asked at random
// times for what was missed (push and anti-entropy after Demers et al.,
// "Epidemic algorithms for replicated database maintenance", PODC 1987).
type Replicator struct {
	self      string
	store     *Store
	peers     Peers
	transport Transport

	mu     sync.Mutex
	random *rand.Rand
}

// NewReplicator returns the spread of one run of an instance.
func NewReplicator(instance, incarnation string, store *Store, peers Peers, caller Transport) *Replicator {
	return &Replicator{self: instance, store: store, peers: peers, transport: caller, random: newRandom(instance, incarnation)}
}

// newRandom returns a random source that differs between runs and instances.
func newRandom(instance, incarnation string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(instance), xxhash.Sum64String(incarnation)))
}

// randomBelow returns a random number below n.
func (s *Replicator) randomBelow(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Run pushes and pulls until ctx ends.
func (s *Replicator) Run(ctx context.Context) error {
	var pushes errgroup.Group
	pushed := int64(0)
	for {
		changed := s.store.Changed()
		if number := s.store.Current().number(); number > pushed {
			pushed = number
			pushes.Go(func() error { return s.Push(ctx) })
		}
		timer := time.NewTimer(PullInterval/2 + time.Duration(s.randomBelow(int(PullInterval))))
		select {
		case <-changed:
		case <-timer.C:
			s.Pull(ctx)
		case <-ctx.Done():
			timer.Stop()
			return pushes.Wait()
		}
		timer.Stop()
	}
}

// Push exchanges with a few random peers. Failures are left to the pulls.
func (s *Replicator) Push(ctx context.Context) error {
	return s.exchangeAll(ctx, s.randomPeers(PushFanout))
}

// randomPeers returns at most n random peers.
func (s *Replicator) randomPeers(n int) []string {
	addresses := s.peers.PeerAddresses()
	for i := range min(n, len(addresses)) {
		j := i + s.randomBelow(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(n, len(addresses))]
}

func (s *Replicator) exchangeAll(ctx context.Context, addresses []string) error {
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			s.exchangeWith(ctx, address)
			return nil
		})
	}
	return group.Wait()
}

// Pull exchanges with one neighbour, or now and then with any peer. Where that
// one does not answer, a few others are asked at once.
func (s *Replicator) Pull(ctx context.Context) {
	addresses := s.peers.PeerAddresses()
	if len(addresses) == 0 {
		return
	}
	if s.randomBelow(randomPeerEvery) != 0 {
		addresses = s.neighbours(addresses)
	}
	if !s.exchangeWith(ctx, addresses[s.randomBelow(len(addresses))]) {
		_ = s.exchangeAll(ctx, s.randomPeers(fallbackPeers))
	}
}

// neighbours returns the same few of the given addresses each time, chosen by
// rendezvous hashing, so that connections are kept.
func (s *Replicator) neighbours(addresses []string) []string {
	weight := func(address string) uint64 { return xxhash.Sum64String(s.self + "\n" + address) }
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
// A peer that turns out to be behind is sent the document in a second call. It
// reports whether the peer answered.
func (s *Replicator) exchangeWith(ctx context.Context, address string) bool {
	exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := s.store.Digest()
	answer, err := s.transport.Exchange(ctx, address, &Exchange{Digest: sent})
	if err != nil {
		exchangeErrors.Add(1)
		return false
	}
	s.apply(answer)
	if answer.Digest.Number >= sent.Number {
		return true
	}
	if _, err := s.transport.Exchange(ctx, address, s.message(answer.Digest.Number)); err != nil {
		exchangeErrors.Add(1)
		return false
	}
	return true
}

// Answer answers the exchange of a peer.
func (s *Replicator) Answer(question *Exchange) *Exchange {
	s.apply(question)
	return s.message(question.Digest.Number)
}

// message returns what this instance has in force, with the document where
// the other side has an older one than that.
func (s *Replicator) message(peerNumber int64) *Exchange {
	message := &Exchange{Digest: s.store.Digest()}
	if current := s.store.Current(); current.number() > peerNumber {
		message.Envelope = &current.Envelope
		documentsSent.Add(1)
	}
	return message
}

// apply uses what a peer told.
func (s *Replicator) apply(message *Exchange) {
	if message.Digest.Keys != keysDigest(s.store.keys) {
		keyMismatches.Add(1)
	}
	if envelope := message.Envelope; envelope != nil && envelope.Number > s.store.Current().number() {
		if err := s.store.ApplyFromPeer(envelope); err != nil {
			logrus.WithField("number", envelope.Number).WithError(err).Warn("configuration document of a peer is not taken over")
		}
	}
	s.store.recordPeerDigest(message.Digest)
}
