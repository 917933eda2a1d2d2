package backends

import "time"

// leastTold is the time of outstanding prompts at a server from which peers are
// told of it; less delays nobody.
const leastTold = 20 * time.Millisecond

// outstanding is the time that a server needs for the prompts that it was sent
// and has not read yet.
type outstanding struct {
	// own is that of this instance.
	own time.Duration
	// peers holds what each peer has told.
	peers map[string]toldPrefill
}

type toldPrefill struct {
	left time.Duration
	at   time.Time
}

// elsewhere returns the time for the prompts of the peers. What they told runs
// down meanwhile, since the server goes on reading.
func (o *outstanding) elsewhere(now time.Time) time.Duration {
	var total time.Duration
	for _, told := range o.peers {
		total += max(told.left-now.Sub(told.at), 0)
	}
	return total
}

// BeginPrefill counts a prompt that the server was sent and that it takes the
// given time to read.
func (b *Backend) BeginPrefill(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill.own += took
}

// EndPrefill takes back what BeginPrefill counted.
func (b *Backend) EndPrefill(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefill.own -= took
}

func (b *Backend) ownPrefill() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefill.own
}

func (b *Backend) hearPrefill(peer string, left time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if left <= 0 {
		delete(b.prefill.peers, peer)
		return
	}
	if b.prefill.peers == nil {
		b.prefill.peers = map[string]toldPrefill{}
	}
	b.prefill.peers[peer] = toldPrefill{left: left, at: now}
}

// Prefill returns the time in milliseconds that servers need for the prompts
// that this instance has sent them, by their IDs.
func (t *Table) Prefill() map[string]int64 {
	var told map[string]int64
	for id, backend := range t.index() {
		own := backend.ownPrefill()
		if own < leastTold {
			continue
		}
		if told == nil {
			told = map[string]int64{}
		}
		told[id] = own.Milliseconds()
	}
	return told
}

// HearPrefill takes what a peer says of the prompts that it has sent, as
// Prefill returns it.
func (t *Table) HearPrefill(peer string, told map[string]int64) {
	now := time.Now()
	for id, backend := range t.index() {
		backend.hearPrefill(peer, time.Duration(told[id])*time.Millisecond, now)
	}
}
