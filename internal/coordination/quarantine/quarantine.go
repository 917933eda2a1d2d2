// Package quarantine finds prompt parts and requests under which backend servers end, so
// that they are not sent to a server any more. Instances tell each other what was in
// progress at servers that ended. A part or a request is put under quarantine if it
// explains the ends best and was never answered completely.
package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

const (
	// Lifetime is how long a key stays under quarantine. Then one instance tries one
	// request with it.
	Lifetime = 10 * time.Minute
	// evidenceTime is how long the end of a server counts.
	evidenceTime = 30 * time.Second
	// repeatedEvidenceTime is the same for a request under which several servers have
	// ended.
	repeatedEvidenceTime = 5 * time.Minute
	// droppedTime is the time after an attempt was dropped for which the end of its
	// server counts as an end under it: a server may go on for a moment.
	droppedTime = 500 * time.Millisecond
	// droppedMemory is how long dropped attempts are remembered: until peers have
	// reported the end of their server.
	droppedMemory = 3 * time.Second
	// maxDropped bounds the number of dropped attempts that are remembered.
	maxDropped = 1 << 12
	// maxServers bounds the number of servers whose ends are remembered.
	maxServers = 1 << 12
)

// Options configures a Detector. All fields are required. The functions are called with the
// lock of the Detector held, so they must take no locks.
type Options struct {
	Now func() boottime.Instant
	// SettleTime returns how long evidence must be sufficient before a key is put under
	// quarantine, so that peers can report that they had answers.
	SettleTime func() time.Duration
	// First reports whether this instance comes first among the running ones in an
	// order that depends on the key. It makes the trials.
	First func(key string) bool
	// Changed is called when peers should learn of a change soon.
	Changed func()
	Log     *logrus.Entry
}

// Detector holds the evidence about prompt parts and requests, and what is under
// quarantine. It is safe for concurrent use.
type Detector struct {
	opts     Options
	mu       sync.Mutex
	parts    *tracker
	requests *tracker
	// ends holds when servers ended, as this instance or a peer has found.
	ends map[uint32]boottime.Instant
	// endsCopy is a copy of ends that is read without the lock. It is replaced as a whole.
	endsCopy atomic.Pointer[map[uint32]boottime.Instant]
	// storedKnown is the result of StoredKnown.
	storedKnown atomic.Bool
	// dropped holds the attempts that were given up recently, in order.
	dropped []droppedAttempt
}

// droppedAttempt is an attempt that was given up while its server may have been at work.
type droppedAttempt struct {
	server  uint32
	request Request
	at      boottime.Instant
}

// New returns a Detector without evidence.
func New(opts Options) *Detector {
	d := &Detector{opts: opts, ends: map[uint32]boottime.Instant{}}
	d.parts = newTracker(PromptPart, &d.opts)
	d.requests = newTracker(WholeRequest, &d.opts)
	d.requests.onBlock = d.discountParts
	d.parts.onBlock = d.releaseRequests
	return d
}

// Answered records that a request was answered completely.
func (d *Detector) Answered(r Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	d.requests.answer(now, r.Key)
	if len(r.Parts) > 0 {
		d.parts.answer(now, r.Parts...)
	}
}

// Started records that the answer to a request has gone on for so long that its server
// does not end at its start.
func (d *Detector) Started(r Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests.clear(r.Key, d.opts.Now())
}

// NeedsEvidence reports whether the end of a server under a request would say anything:
// the request and its parts are not all known to be sound.
func (d *Detector) NeedsEvidence(r Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	if !d.requests.isAnswered(r.Key, now) {
		return true
	}
	for _, part := range r.Parts {
		if !d.parts.isAnswered(part, now) {
			return true
		}
	}
	return false
}

// Ended records that a server ended while a request was in progress there. The server is
// named by an ID that differs after each start.
func (d *Detector) Ended(server string, r Request, at boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := hash32(server)
	news := d.addServerEnd(id, at)
	news = d.endedUnderRequest(id, r, at) || news
	if len(r.Parts) > 0 {
		d.parts.count(at, false)
	}
	for position, part := range r.Parts {
		news = d.endedUnderPart(id, part, r.Key, at) || news
		d.parts.observePosition(part, position)
	}
	d.decide(d.opts.Now())
	if news {
		d.opts.Changed()
	}
}

// Dropped records that an attempt was given up while its server may have been at work.
func (d *Detector) Dropped(server string, r Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	a := droppedAttempt{server: hash32(server), request: r, at: now}
	if at, ended := d.ends[a.server]; ended {
		// The end of the server was found first.
		d.endedUnderDropped(&a, at)
		return
	}
	old := 0
	for old < len(d.dropped) && (now.Since(d.dropped[old].at) >= droppedMemory || len(d.dropped)-old >= maxDropped) {
		old++
	}
	d.dropped = append(d.dropped[old:], a)
}

// ServerEnded records that a server has ended.
func (d *Detector) ServerEnded(server string, at boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addServerEnd(hash32(server), at) {
		d.decide(d.opts.Now())
		d.opts.Changed()
	}
}

// addServerEnd adds the end of a server, and that of the attempts that were dropped
// there. It reports whether the end is new.
func (d *Detector) addServerEnd(server uint32, at boottime.Instant) bool {
	if _, known := d.ends[server]; known || len(d.ends) >= maxServers {
		return false
	}
	d.ends[server] = at
	d.copyEnds()
	for i := range d.dropped {
		if a := &d.dropped[i]; a.server == server {
			d.endedUnderDropped(a, at)
		}
	}
	return true
}

// endedUnderDropped adds the end of a server as evidence about an attempt that was dropped
// shortly before.
func (d *Detector) endedUnderDropped(a *droppedAttempt, at boottime.Instant) {
	if at.Since(a.at).Abs() < droppedTime {
		d.endedUnderRequest(a.server, a.request, at)
	}
}

// endedUnderRequest adds the end of a server under a request. It reports whether it is
// new.
func (d *Detector) endedUnderRequest(server uint32, r Request, at boottime.Instant) bool {
	isNew := d.requests.end(server, r.Key, ended{request: hash32(r.ID), at: at, counted: true})
	if isNew {
		d.requests.count(at, false)
	}
	return isNew
}

// endedUnderPart adds the end of a server under a part of a request. It reports whether it
// is new. What a request under quarantine explains is no evidence about its parts.
func (d *Detector) endedUnderPart(server uint32, part, request Key, at boottime.Instant) bool {
	if d.requests.blocked[request] != nil || d.requests.explained(server) {
		return false
	}
	return d.parts.end(server, part, ended{request: hash32Key(request), at: at})
}

// discountParts leaves one of the ends that a request explains as evidence about each of
// its parts, and none about others.
func (d *Detector) discountParts(request Key, ends map[uint32]ended) {
	for _, s := range d.parts.suspects {
		kept := false
		for server := range ends {
			end, ok := s.ends[server]
			switch {
			case !ok:
			case !kept && end.request == hash32Key(request):
				kept = true
			default:
				s.remove(server)
			}
		}
	}
}

// releaseRequests ends the quarantine of the requests that a part explains.
func (d *Detector) releaseRequests(_ Key, ends map[uint32]ended) {
	now, explained := d.opts.Now(), map[uint32]bool{}
	for _, end := range ends {
		explained[end.request] = true
	}
	for request := range d.requests.blocked {
		if explained[hash32Key(request)] {
			d.requests.release(request, now)
		}
	}
}

func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

func hash32Key(key Key) uint32 { return uint32(key) }

// Block is a quarantine that a request is under.
type Block struct {
	Kind Kind
	// Left is the time that is left of the quarantine.
	Left time.Duration
}

// Blocked returns the quarantine that a request is under; nil if there is none, or if the
// request is a trial.
func (d *Detector) Blocked(r Request) *Block { return d.blockOf(r, (*tracker).isBlocked) }

// BlockedMeanwhile returns the quarantine that a request which has been admitted is under
// by now; nil if there is none. A trial is under none.
func (d *Detector) BlockedMeanwhile(r Request) *Block {
	return d.blockOf(r, (*tracker).isBlockedMeanwhile)
}

// blockOf returns the first quarantine that isBlocked finds for a request; nil for none.
func (d *Detector) blockOf(r Request, isBlocked func(t *tracker, now boottime.Instant, keys ...Key) (time.Duration, bool)) *Block {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	if left, blocked := isBlocked(d.parts, now, r.Parts...); blocked {
		return &Block{PromptPart, left}
	}
	if left, blocked := isBlocked(d.requests, now, r.Key); blocked {
		return &Block{WholeRequest, left}
	}
	return nil
}

// Count returns the number of keys of a kind under quarantine.
func (d *Detector) Count(kind Kind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tracker(kind).blocked)
}

func (d *Detector) tracker(kind Kind) *tracker {
	if kind == WholeRequest {
		return d.requests
	}
	return d.parts
}

// Tick puts keys under quarantine whose evidence has settled, and forgets old evidence.
func (d *Detector) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, known := d.opts.Now(), len(d.ends)
	maps.DeleteFunc(d.ends, func(_ uint32, at boottime.Instant) bool { return now.Since(at) >= evidenceTime })
	if len(d.ends) < known {
		d.copyEnds()
	}
	d.decide(now)
}

func (d *Detector) copyEnds() {
	ends := maps.Clone(d.ends)
	d.endsCopy.Store(&ends)
}

// HasEnded reports whether a run of a server is known to have ended, as this instance or a
// peer has found. It takes no lock.
func (d *Detector) HasEnded(server string) bool {
	ends := d.endsCopy.Load()
	if ends == nil || len(*ends) == 0 {
		return false
	}
	_, ended := (*ends)[hash32(server)]
	return ended
}

func (d *Detector) decide(now boottime.Instant) {
	d.parts.decide(now)
	d.requests.decide(now)
}
