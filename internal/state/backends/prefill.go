package backends

import "time"

// minReportedPrefill is the time of outstanding prompts at a server from which peers are
// told of it; less delays nobody.
const minReportedPrefill = 20 * time.Millisecond

// outstandingPrefill is the time that a server needs for the prompts that it was sent
// and has not read yet.
type outstandingPrefill struct {
	// own is that of this instance.
	own time.Duration
	// peers holds what each peer has told.
	peers map[string]peerPrefill
}

type peerPrefill struct {
	remaining  time.Duration
	receivedAt time.Time
}

// peersTotal returns the time for the prompts of the peers. What they told runs
// down meanwhile, since the server goes on reading.
func (o *outstandingPrefill) peersTotal(now time.Time) time.Duration {
	var total time.Duration
	for _, reported := range o.peers {
		total += max(reported.remaining-now.Sub(reported.receivedAt), 0)
	}
	return total
}

// BeginPrefill counts a prompt that the server was sent and that it takes the
// given time to read.
func (b *Backend) BeginPrefill(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill.own += duration
}

// EndPrefill takes back what BeginPrefill counted.
func (b *Backend) EndPrefill(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill.own -= duration
}

func (b *Backend) ownPrefill() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefill.own
}

func (b *Backend) setPeerPrefill(peer string, remaining time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if remaining <= 0 {
		delete(b.prefill.peers, peer)
		return
	}
	if b.prefill.peers == nil {
		b.prefill.peers = map[string]peerPrefill{}
	}
	b.prefill.peers[peer] = peerPrefill{remaining: remaining, receivedAt: now}
}

// Prefill returns the time in milliseconds that servers need for the prompts
// that this instance has sent them, by their IDs.
func (t *Table) Prefill() map[string]int64 {
	var reported map[string]int64
	for id, backend := range t.index() {
		own := backend.ownPrefill()
		if own < minReportedPrefill {
			continue
		}
		if reported == nil {
			reported = map[string]int64{}
		}
		reported[id] = own.Milliseconds()
	}
	return reported
}

// SetPeerPrefill takes what a peer says of the prompts that it has sent, as
// Prefill returns it.
func (t *Table) SetPeerPrefill(peer string, reported map[string]int64) {
	now := time.Now()
	for id, backend := range t.index() {
		backend.setPeerPrefill(peer, time.Duration(reported[id])*time.Millisecond, now)
	}
}
