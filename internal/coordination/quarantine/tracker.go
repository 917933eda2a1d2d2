package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/decay"
)

const (
	// outcomeHalfLife is the half-life of the outcomes from which the share of requests
	// that are answered is taken.
	outcomeHalfLife = 10 * time.Second
	// answeredTime is how long a key counts as sound after a complete answer.
	answeredTime = 2 * time.Minute
	// trialInterval is the time between two trials of a key while their outcome is not
	// known.
	trialInterval = 30 * time.Second
	// forgetInterval is the minimum time between two searches for old evidence.
	forgetInterval = 100 * time.Millisecond
	// maxAnswered, maxSuspects and maxBlocked bound the number of keys of a kind that are
	// remembered.
	maxAnswered = 1 << 14
	maxSuspects = 1 << 10
	maxBlocked  = 1 << 10
	// requestStoreDelay is how long a request is under quarantine before that is stored.
	requestStoreDelay = 5 * time.Second
)

// tracker holds the evidence about the keys of one kind, and those under quarantine. It
// is guarded by the lock of its Detector.
type tracker struct {
	kind Kind
	opts *Options
	// onBlock is called with a key that comes under quarantine and the ends that it
	// explains.
	onBlock  func(key Key, ends map[uint32]ended)
	answered map[Key]boottime.Instant
	suspects map[Key]*suspect
	// blocked holds the keys under quarantine.
	blocked map[Key]*entry
	// outcomes counts the requests of this instance that were answered, and those in
	// progress at servers that ended.
	outcomes decay.Counts
	// refuted holds the keys that peers suspect although they were answered here, and
	// when this was found.
	refuted map[Key]boottime.Instant
	// forgotAt is when old evidence was last removed.
	forgotAt boottime.Instant
	// explains holds the servers that ended under a key that is under quarantine.
	explains map[uint32]boottime.Instant
	// lifted holds the keys whose quarantine has ended and may still be stored.
	lifted map[Key]bool
}

// suspect is a key that was in progress at servers that ended.
type suspect struct {
	// ends maps each server to the end under the key; latest is when the last one was.
	ends   map[uint32]ended
	latest boottime.Instant
	// measured is the evidence; nil if the ends have changed since.
	measured *evidence
	// depth is the highest position of a part in the prompts seen here, from 1; 0 if this
	// instance has seen none.
	depth int
	// sufficientSince is since when the evidence has been sufficient; 0 if it is not.
	sufficientSince boottime.Instant
}

// observePosition records the position of a part in a prompt, from 0.
func (t *tracker) observePosition(key Key, position int) {
	if s := t.suspects[key]; s != nil {
		s.depth = max(s.depth, position+1)
	}
}

// ended is the end of a server with a request in progress.
type ended struct {
	// request is the hash of the key of the request; for a suspect that is a request
	// itself, that of the ID of the call.
	request uint32
	at      boottime.Instant
	// counted is true if it is among the outcomes of this instance.
	counted bool
}

// entry is a key under quarantine.
type entry struct {
	since   boottime.Instant
	triedAt boottime.Instant
	// stored is true once the entry was written to the store.
	stored bool
}

func newTracker(kind Kind, opts *Options) *tracker {
	return &tracker{
		kind: kind, opts: opts, answered: map[Key]boottime.Instant{}, suspects: map[Key]*suspect{},
		blocked: map[Key]*entry{}, explains: map[uint32]boottime.Instant{}, refuted: map[Key]boottime.Instant{}, lifted: map[Key]bool{},
	}
}

// answer records that a request with the keys was answered.
func (t *tracker) answer(now boottime.Instant, keys ...Key) {
	t.count(now, true)
	for _, key := range keys {
		t.clear(key, now)
	}
	t.boundAnswered(now)
}

// count counts the outcome of a request.
func (t *tracker) count(now boottime.Instant, answered bool) {
	t.outcomes.Add(time.Unix(0, int64(now)), outcomeHalfLife, 1, answered)
}

// clear records that a key is sound.
func (t *tracker) clear(key Key, at boottime.Instant) {
	t.answered[key] = max(t.answered[key], at)
	delete(t.suspects, key)
	if _, ok := t.blocked[key]; ok {
		t.release(key, at)
		t.opts.Log.WithField("event", "quarantine_lifted").WithField(t.kind.String(), key.String()).Warn("what is under quarantine was answered; lifting the quarantine")
		t.opts.Changed()
	}
}

// release ends the quarantine of a key.
func (t *tracker) release(key Key, now boottime.Instant) {
	if t.dueForStore(t.blocked[key], now) && len(t.lifted) < maxBlocked {
		t.lifted[key] = true
	}
	delete(t.blocked, key)
	delete(t.suspects, key)
}

// dueForStore reports whether an entry is due to be stored, so that any instance may have
// done so. Of the requests with a bad prompt part many come under quarantine, until the
// part is found.
func (t *tracker) dueForStore(e *entry, now boottime.Instant) bool {
	return t.kind == PromptPart || e.stored || now.Since(e.since) >= requestStoreDelay
}

// boundAnswered removes what is too old, or anything if there is still too much.
func (t *tracker) boundAnswered(now boottime.Instant) {
	if len(t.answered) <= maxAnswered {
		return
	}
	for key, at := range t.answered {
		if now.Since(at) >= answeredTime {
			delete(t.answered, key)
		}
	}
	for key := range t.answered {
		if len(t.answered) <= maxAnswered {
			return
		}
		delete(t.answered, key)
	}
}

// isAnswered reports whether a request with a key was answered recently.
func (t *tracker) isAnswered(key Key, now boottime.Instant) bool {
	at, ok := t.answered[key]
	return ok && now.Since(at) < answeredTime
}

// end adds the end of a server under a key. It reports whether it is new.
func (t *tracker) end(server uint32, key Key, end ended) bool {
	if blocked := t.blocked[key]; blocked != nil {
		// A request was under way, or a trial failed.
		blocked.since = end.at
	}
	return t.addEnd(server, key, end)
}

func (t *tracker) addEnd(server uint32, key Key, end ended) bool {
	if t.isAnswered(key, end.at) || t.explained(server) {
		return false
	}
	s := t.suspects[key]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.evict() {
			return false
		}
		s = &suspect{ends: map[uint32]ended{}}
		t.suspects[key] = s
	}
	if _, known := s.ends[server]; known {
		return false
	}
	s.ends[server], s.measured = end, nil
	s.latest = max(s.latest, end.at)
	if t.blocked[key] != nil {
		t.discount(key, server, end.at)
	}
	return true
}

// discount removes the end of a server as evidence about all keys but the one that
// explains it.
func (t *tracker) discount(key Key, server uint32, at boottime.Instant) {
	t.explains[server] = at
	for other, suspect := range t.suspects {
		if other != key {
			suspect.remove(server)
		}
	}
}

// remove removes the end of a server.
func (s *suspect) remove(server uint32) {
	delete(s.ends, server)
	s.measured = nil
}

// evict removes a suspect with a single end. It reports whether there is one.
func (t *tracker) evict() bool {
	for key, s := range t.suspects {
		if len(s.ends) == 1 && t.blocked[key] == nil {
			delete(t.suspects, key)
			return true
		}
	}
	return false
}

// explained reports whether a server ended under a key that is under quarantine.
func (t *tracker) explained(server uint32) bool {
	_, ok := t.explains[server]
	return ok
}

// isBlocked reports whether one of the keys is under quarantine, and for how much longer.
// A trial is not.
func (t *tracker) isBlocked(now boottime.Instant, keys ...Key) (left time.Duration, blocked bool) {
	for _, key := range keys {
		e := t.blocked[key]
		if e == nil || t.mayTry(key, e, now) {
			continue
		}
		left, blocked = max(left, Lifetime-now.Since(e.since)), true
	}
	return max(left, 0), blocked
}

// isBlockedMeanwhile is isBlocked for a request that has been admitted.
func (t *tracker) isBlockedMeanwhile(now boottime.Instant, keys ...Key) (left time.Duration, blocked bool) {
	for _, key := range keys {
		if e := t.blocked[key]; e != nil && now.Since(e.since) < Lifetime {
			left, blocked = max(left, Lifetime-now.Since(e.since)), true
		}
	}
	return left, blocked
}

// mayTry reports whether a request with a key may be tried, and records the trial.
func (t *tracker) mayTry(key Key, e *entry, now boottime.Instant) bool {
	if now.Since(e.since) < Lifetime || (e.triedAt != 0 && now.Since(e.triedAt) < trialInterval) || !t.opts.First(key.String()) {
		return false
	}
	e.triedAt = now
	t.opts.Log.WithField("event", "quarantine_trial").WithField(t.kind.String(), key.String()).Info("trying a request whose quarantine has ended")
	return true
}

// block puts a key under quarantine. What it explains no longer counts as evidence about
// others.
func (t *tracker) block(key Key, since boottime.Instant) {
	if known := t.blocked[key]; known != nil {
		known.since = max(known.since, since)
		return
	}
	t.blocked[key] = &entry{since: since}
	delete(t.lifted, key)
	t.boundBlocked(since)
	s := t.suspects[key]
	if s == nil {
		return
	}
	for server, end := range s.ends {
		t.discount(key, server, end.at)
	}
	t.onBlock(key, s.ends)
}

// boundBlocked releases the oldest quarantine if there are too many.
func (t *tracker) boundBlocked(now boottime.Instant) {
	if len(t.blocked) <= maxBlocked {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.blocked)), func(a, b Key) int { return cmp.Compare(t.blocked[a].since, t.blocked[b].since) })
	t.release(oldest, now)
}
