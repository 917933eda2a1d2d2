package backends

import "time"

// minReportedPrefill is the least outstanding time at a server that is reported
// to peers; shorter times delay no request noticeably.
const minReportedPrefill = 20 * time.Millisecond

// outstandingPrefill is the time that a server needs to process the prompts that
// it was sent and has not yet processed.
type outstandingPrefill struct {
	// own is the time for the prompts of this instance.
	own time.Duration
	// peers holds the latest report of each peer, by its name.
	peers map[string]peerPrefill
}

type peerPrefill struct {
	remaining  time.Duration
	receivedAt time.Time
}

// peersTotal returns the time for the prompts of all peers. The time since each
// report is subtracted, as the server continues to process prompts.
func (o *outstandingPrefill) peersTotal(now time.Time) time.Duration {
	var total time.Duration
	for _, reported := range o.peers {
		total += max(reported.remaining-now.Sub(reported.receivedAt), 0)
	}
	return total
}

// BeginPrefill adds a prompt sent to the server, with the expected duration of
// its prefill.
func (b *Backend) BeginPrefill(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill.own += duration
}

// EndPrefill removes a prompt that BeginPrefill added with the same duration.
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

// Prefill returns the outstanding prefill time of the prompts that this instance
// has sent, in milliseconds by server ID. Servers with less than
// minReportedPrefill are left out; the result is nil if there are no others.
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

// SetPeerPrefill stores the report of a peer, as Prefill returns it there. It
// replaces the previous report of that peer.
func (t *Table) SetPeerPrefill(peer string, reported map[string]int64) {
	now := time.Now()
	for id, backend := range t.index() {
		backend.setPeerPrefill(peer, time.Duration(reported[id])*time.Millisecond, now)
	}
}
