package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

const (
	// minOccasions is the number of occasions at which servers must have ended under a
	// part, and minRequests the number of requests in which it was in progress there.
	// With fewer, a sound part may be among them by chance.
	minOccasions = 4
	minRequests  = 4
	// minRequestOccasions is the number of occasions at which servers must have ended
	// under a request.
	minRequestOccasions = 3
	// minRequestSettle is the minimum time for which the evidence about a request must be
	// sufficient: others that end the same servers may show soon.
	minRequestSettle = time.Second
	// maxChance is the probability, by the share of requests that are answered, up to
	// which none of the requests with a sound key would have been answered. Where all
	// servers end all the time, nothing is answered; then certainOccasions are needed.
	maxChance        = 0.001
	certainOccasions = 2 * minOccasions
	// occasionTime is the time within which the ends of servers are one occasion. callTime
	// is the same for ends under one call, which begins at a server after it has broken at
	// another: servers that end together may be found one after the other.
	occasionTime = 100 * time.Millisecond
	callTime     = 30 * time.Millisecond
	// minShare is the share of the occasions since the first one under the part that the
	// part must explain. Servers that fail for another reason end under any part.
	minShare = 0.5
	// minServers and minServerShare are the number and the share of servers that a part
	// must explain where there are fewer occasions: many requests with a bad part may
	// arrive at once.
	minServers     = 5
	minServerShare = 0.7
)

// decide puts the keys with the most evidence under quarantine, as long as there is one
// whose evidence is sufficient and has settled.
func (t *tracker) decide(now boottime.Instant) {
	if now.Since(t.forgotAt) >= forgetInterval {
		t.forgotAt = now
		t.forget(now)
	}
	for t.decideOne(now) {
	}
}

// decideOne puts the first key that is due under quarantine. It reports whether there was
// one.
func (t *tracker) decideOne(now boottime.Instant) bool {
	list := t.candidates(func(key Key, s *suspect) bool { return len(s.ends) >= t.minEnds() && t.blocked[key] == nil })
	count := len(list)
	if t.kind == PromptPart {
		// Parts share the ends, and the others explain less.
		count = min(count, 1)
	}
	covered := map[uint32]bool{}
	for i := range count {
		c := &list[i]
		if c.suspect.cover(covered) < t.minEnds() {
			// Others with more evidence explain its ends.
			c.suspect.sufficientSince = 0
			continue
		}
		if !t.settled(c, list, now) {
			continue
		}
		t.block(c.key, now)
		t.opts.Log.WithFields(logrus.Fields{
			"event": t.kind.String() + "_quarantined", t.kind.String(): c.key.String(), "servers": c.evidence.servers, "occasions": c.evidence.occasions,
			"requests": c.evidence.requests, "evidence_ms": now.Since(c.suspect.sufficientSince).Milliseconds(),
		}).Error("servers end under what this key identifies; requests with it are refused")
		t.opts.Changed()
		return true
	}
	return false
}

// cover adds the servers that ended under a suspect, and returns the number of those that
// were not covered.
func (s *suspect) cover(covered map[uint32]bool) (added int) {
	for server := range s.ends {
		if !covered[server] {
			covered[server] = true
			added++
		}
	}
	return added
}

// settled reports whether the evidence about a candidate has been sufficient for long
// enough.
func (t *tracker) settled(c *candidate, list []candidate, now boottime.Instant) bool {
	s := c.suspect
	switch {
	case !t.sufficient(s):
		s.sufficientSince = 0
		return false
	case t.ambiguous(c, list):
		return false
	case s.sufficientSince == 0:
		s.sufficientSince = now
	}
	settle := t.opts.SettleTime()
	if t.kind == WholeRequest {
		settle = max(settle, minRequestSettle)
	}
	return now.Since(s.sufficientSince) >= settle
}

// ambiguous reports whether another candidate explains the same ends as well. Two that
// stay equal for long come together. Then the one deeper in the prompt will do, which an
// instance knows that has seen a prompt with them.
func (t *tracker) ambiguous(c *candidate, list []candidate) bool {
	if c.evidence.occasions >= certainOccasions && (t.kind == WholeRequest || c.suspect.depth > 0) {
		return false
	}
	return slices.ContainsFunc(list, func(other candidate) bool {
		return other.key != c.key && other.evidence == c.evidence && (t.kind == PromptPart || other.suspect.sameServers(c.suspect))
	})
}

func (s *suspect) sameServers(other *suspect) bool {
	for server := range s.ends {
		if _, ok := other.ends[server]; !ok {
			return false
		}
	}
	return true
}

// forget removes evidence that is too old or was refuted, and quarantines of requests
// that have not come again.
func (t *tracker) forget(now boottime.Instant) {
	for key, s := range t.suspects {
		if t.blocked[key] != nil {
			continue
		}
		lifetime := t.evidenceLifetime(s)
		for server, end := range s.ends {
			if now.Since(end.at) >= lifetime {
				s.remove(server)
			}
		}
		if len(s.ends) == 0 || t.isAnswered(key, now) {
			delete(t.suspects, key)
		}
	}
	for server, at := range t.explains {
		if now.Since(at) >= evidenceTime {
			delete(t.explains, server)
		}
	}
	if t.kind != WholeRequest {
		return
	}
	for key, e := range t.blocked {
		if now.Since(e.since) >= requestLifetime {
			t.release(key, now)
		}
	}
}

// evidenceLifetime returns how long the ends under a suspect count. A request that comes again
// under which a second server has ended is rare enough to be remembered for longer.
func (t *tracker) evidenceLifetime(s *suspect) time.Duration {
	if t.kind == WholeRequest && len(s.ends) > 1 {
		return repeatedEvidenceTime
	}
	return evidenceTime
}

// requestLifetime is the time after which the quarantine of a request ends although the
// request has not been tried again.
const requestLifetime = 2 * Lifetime

// candidate is a suspect with its evidence.
type candidate struct {
	key      Key
	suspect  *suspect
	evidence evidence
}

// minEnds returns the number of ends from which a suspect is considered. There are many
// requests under which a single server has ended.
func (t *tracker) minEnds() int {
	if t.kind == WholeRequest {
		return minRequestOccasions
	}
	return 1
}

// candidates returns the suspects for which keep returns true, those with the most
// evidence first. Of parts with the same evidence those that come last in a prompt are
// first: prompts share their beginnings, so an earlier part is in more sound requests. Of
// others the latest are.
func (t *tracker) candidates(keep func(Key, *suspect) bool) []candidate {
	var list []candidate
	for key, s := range t.suspects {
		if keep(key, s) {
			list = append(list, candidate{key, s, t.evidence(s)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			b.evidence.compare(a.evidence), cmp.Compare(b.suspect.depth, a.suspect.depth),
			cmp.Compare(b.suspect.latest, a.suspect.latest), cmp.Compare(a.key, b.key),
		)
	})
	return list
}

// evidence measures the evidence about a key.
type evidence struct {
	// occasions is the number of occasions at which servers ended: those that end at the
	// same time have a common cause, which says little about a key.
	occasions int
	servers   int
	// requests is the number of different requests that were in progress.
	requests int
}

func (e evidence) compare(other evidence) int {
	return cmp.Or(cmp.Compare(e.occasions, other.occasions), cmp.Compare(e.servers, other.servers), cmp.Compare(e.requests, other.requests))
}

func (t *tracker) evidence(s *suspect) evidence {
	if s.measured == nil {
		e := t.measure(s)
		s.measured = &e
	}
	return *s.measured
}

func (t *tracker) measure(s *suspect) evidence {
	requests := map[uint32]bool{}
	ends := make([]ended, 0, len(s.ends))
	for _, end := range s.ends {
		requests[end.request] = true
		ends = append(ends, end)
	}
	return evidence{occasions: t.countOccasions(ends), servers: len(s.ends), requests: len(requests)}
}

// countOccasions returns the number of moments that are more than occasionTime apart. A
// call is at one server at a time, so under the same one callTime suffices.
func (t *tracker) countOccasions(ends []ended) int {
	slices.SortFunc(ends, func(a, b ended) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.request, b.request)) })
	count, last := 0, boottime.Instant(0)
	calls := map[uint32]bool{}
	for _, end := range ends {
		again := t.kind == WholeRequest && calls[end.request] && end.at.Since(last) >= callTime
		if count == 0 || again || end.at.Since(last) > occasionTime {
			count, last = count+1, end.at
			clear(calls)
		}
		calls[end.request] = true
	}
	return count
}

// sufficient reports whether the evidence about a suspect suffices.
func (t *tracker) sufficient(s *suspect) bool {
	if t.kind == WholeRequest {
		return t.sufficientForRequest(s)
	}
	return t.sufficientForPart(s)
}

// sufficientForPart reports whether the evidence about a prompt part suffices.
func (t *tracker) sufficientForPart(s *suspect) bool {
	if len(s.ends) < minOccasions {
		return false
	}
	e := t.evidence(s)
	if e.requests < minRequests {
		return false
	}
	needed := minOccasions
	mayBeChance := t.chance(e.requests, 0) > maxChance
	if mayBeChance {
		needed = certainOccasions
	}
	occasions, servers := t.endsSince(s.first())
	if e.occasions >= needed {
		return float64(e.occasions) >= minShare*float64(occasions)
	}
	return !mayBeChance && e.servers >= minServers && float64(e.servers) >= minServerShare*float64(servers)
}

// sufficientForRequest reports whether the evidence about a request suffices. Several
// requests may end servers at the same time, so no share of the ends is asked for.
func (t *tracker) sufficientForRequest(s *suspect) bool {
	e := t.evidence(s)
	return e.occasions >= certainOccasions || (e.occasions >= minRequestOccasions && t.chance(e.occasions, t.weight(s)) <= maxChance)
}

// weight returns the weight of the ends under a suspect among the outcomes.
func (t *tracker) weight(s *suspect) float64 {
	now, sum := t.opts.Now(), 0.0
	for _, end := range s.ends {
		if end.counted {
			sum += math.Exp2(-float64(now.Since(end.at)) / float64(outcomeHalfLife))
		}
	}
	return sum
}

// first returns when the first server ended under the key. There must be one.
func (s *suspect) first() boottime.Instant {
	return slices.MinFunc(slices.Collect(maps.Values(s.ends)), func(a, b ended) int { return cmp.Compare(a.at, b.at) }).at
}

// endsSince returns the number of occasions and of servers that ended since a moment and
// that no key under quarantine explains.
func (t *tracker) endsSince(first boottime.Instant) (occasions, servers int) {
	ends := map[uint32]ended{}
	for key, suspect := range t.suspects {
		if t.blocked[key] != nil {
			continue
		}
		for server, end := range suspect.ends {
			if end.at >= first {
				ends[server] = end
			}
		}
	}
	return t.countOccasions(slices.Collect(maps.Values(ends))), len(ends)
}

// chance returns the probability that none of a number of requests with a sound key was
// answered. Outcomes of the weight own are those of the key itself.
func (t *tracker) chance(requests int, own float64) float64 {
	answered := (t.outcomes.Matching + 1) / (max(t.outcomes.Total-own, t.outcomes.Matching) + 2)
	return math.Pow(1-answered, float64(requests))
}
