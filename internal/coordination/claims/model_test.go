package claims

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/records"
)

// The model explores every interleaving of a few requests with one key. It
// includes two instances, a log that loses, delays and duplicates appends,
// crashes, and a service with calls in flight. It drives apply and next, the
// same functions that the coordinator uses.

// protocol holds the rules under test, which a variant may break.
type protocol struct {
	apply func(keyState, int64, *records.Claim) (keyState, effect)
	next  func(step, event) (step, action)
	// absenceFrees makes a status query that finds nothing release the key.
	absenceFrees bool
	// absenceSettles makes a status query that finds nothing record the call as
	// done.
	absenceSettles bool
	// ignoresGap makes an instance accept requests although it missed records.
	ignoresGap bool
}

func realProtocol() protocol { return protocol{apply: apply, next: next} }

type modelRequest struct {
	arrived, claimed, sent, mustNotSend bool
	// confirmed means that the log has confirmed the answer to the instance of the request.
	confirmed bool
	step      step
	seen      int64
	reply     string
}

type modelRecord struct {
	step    records.ClaimStep
	request int
	seen    int64
}

// modelState is one state of the model. It is copied before each change.
type modelState struct {
	log        []modelRecord
	pending    []modelRecord // delayed appends, which may take effect or not
	read       [2]int
	ready      [2]bool
	state      [2]keyState
	requests   [3]modelRequest
	inFlight   int // calls in flight to the service
	booked     int
	sends      int
	faults     int
	crashes    int
	statusRead bool // a status query was made
}

// instanceOf is the instance that receives each request: the caller tries one
// instance, then the other, then the first again.
var instanceOf = [3]int{0, 1, 0}

func (w *modelState) clone() *modelState {
	c := *w
	c.log = slices.Clone(w.log)
	c.pending = slices.Clone(w.pending)
	return &c
}

// key identifies a state. It omits the state of the idempotency key, which
// follows from the log and the read positions.
func (w *modelState) key() string {
	b := make([]byte, 0, 96)
	for _, r := range w.log {
		b = append(b, r.step[0], r.step[len(r.step)-1], byte(r.request), byte(r.seen))
	}
	b = append(b, '|')
	for _, r := range w.pending {
		b = append(b, r.step[0], r.step[len(r.step)-1], byte(r.request), byte(r.seen))
	}
	b = append(b, '|', byte(w.read[0]), byte(w.read[1]), flag(w.ready[0]), flag(w.ready[1]), flag(w.statusRead))
	b = append(b, byte(w.inFlight), byte(w.booked), byte(w.sends), byte(w.faults), byte(w.crashes))
	for _, r := range w.requests {
		b = append(b, flag(r.arrived), flag(r.claimed), flag(r.sent), flag(r.mustNotSend), flag(r.confirmed), byte(r.step), byte(r.seen))
		b = append(b, r.reply...)
	}
	return string(b)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func (r modelRecord) claim() *records.Claim {
	answer := (*records.KeptAnswer)(nil)
	if r.step == records.ClaimDone {
		answer = modelAnswer
	}
	return &records.Claim{Step: r.step, ClaimID: fmt.Sprint("c", r.request), Fingerprint: "f", Seen: r.seen, Answer: answer}
}

var modelAnswer = &records.KeptAnswer{Status: 201}

// bounds limits the size of one exploration.
type bounds struct{ requests, faults, crashes int }

type explorer struct {
	protocol protocol
	seen     map[string]bool
	bounds
	problem string
	trace   []string
}

// fail records the first violation with the steps that led to it.
func (x *explorer) fail(w *modelState, format string, args ...any) {
	if x.problem == "" {
		x.problem = fmt.Sprintf(format, args...) + "\nafter " + strings.Join(x.trace, "; ") + fmt.Sprintf("\n%+v", *w)
	}
}

// visit checks a state and explores all states that follow it.
func (x *explorer) visit(w *modelState) {
	if x.problem != "" {
		return
	}
	key := w.key()
	if x.seen[key] {
		return
	}
	x.seen[key] = true
	x.check(w)
	x.arrivals(w)
	x.reads(w)
	x.requestEvents(w)
	x.deliveries(w)
	x.crash(w)
	x.statusReads(w)
}

// try applies a change to a copy of the state and visits the result.
func (x *explorer) try(w *modelState, name string, change func(c *modelState)) {
	if x.problem != "" {
		return
	}
	c := w.clone()
	x.trace = append(x.trace, name)
	change(c)
	x.visit(c)
	x.trace = x.trace[:len(x.trace)-1]
}

// check fails if a state violates a safety rule, or if the key stays blocked
// after all requests have ended although no call was sent.
func (x *explorer) check(w *modelState) {
	if w.booked > 1 {
		x.fail(w, "the booking ran twice")
	}
	var state keyState
	done := false
	for i, r := range w.log {
		state, _ = x.protocol.apply(state, int64(i), r.claim())
		done = done || state.phase == phaseDone
	}
	if done && (state.phase != phaseDone || state.answer == nil) {
		x.fail(w, "the kept answer is lost")
	}
	if w.sends > 0 && state.phase == phaseFree {
		x.fail(w, "the key is free although its call was sent")
	}
	for i, r := range w.requests {
		if r.reply == "answer" && w.booked == 0 {
			x.fail(w, "request %d received an answer although nothing ran", i)
		}
		if r.reply == "answer" && state.phase == phaseFree {
			x.fail(w, "the outcome of request %d is lost", i)
		}
	}
	quiescent := w.crashes == 0 && len(w.pending) == 0 && w.read[0] == len(w.log) && w.read[1] == len(w.log)
	for i, r := range w.requests {
		waits := r.step == stepCancelled && !w.holds(i)
		quiescent = quiescent && (!r.arrived || r.claimed && (r.step == stepClosed || waits))
	}
	if quiescent && w.sends == 0 && state.phase != phaseFree {
		x.fail(w, "the key stays blocked although nothing was sent")
	}
}

// arrivals lets the next request arrive at its instance.
func (x *explorer) arrivals(w *modelState) {
	for i, r := range w.requests[:x.requests] {
		if r.arrived || i > 0 && !w.requests[i-1].arrived {
			continue
		}
		at := instanceOf[i]
		if !w.ready[at] {
			continue
		}
		x.try(w, fmt.Sprint("arrive ", i), func(c *modelState) {
			c.requests[i] = modelRequest{arrived: true, seen: int64(c.read[at]), step: stepClaiming}
			if c.state[at].phase != phaseFree {
				x.replyHolder(c, i)
				c.requests[i].claimed = true
				c.requests[i].step = stepClosed
			}
		})
	}
}

// append explores the possible results of an append. It calls answered if the log
// confirms the append, and unanswered if not.
func (x *explorer) append(w *modelState, name string, r modelRecord, answered, unanswered func(c *modelState)) {
	x.try(w, name+" appended", func(c *modelState) {
		c.log = append(c.log, r)
		answered(c)
	})
	if w.faults >= x.faults {
		return
	}
	fault := func(kind string, change func(c *modelState)) {
		x.try(w, name+" "+kind, func(c *modelState) {
			c.faults++
			change(c)
			unanswered(c)
		})
	}
	fault("lost", func(c *modelState) {
		if r.step != records.ClaimStart {
			c.pending = append(c.pending, r) // the append of an outcome is retried
		}
	})
	fault("answer lost", func(c *modelState) { c.log = append(c.log, r) })
	fault("delayed", func(c *modelState) { c.pending = append(c.pending, r) })
	x.try(w, name+" appended twice", func(c *modelState) {
		c.faults++
		c.log = append(c.log, r)
		c.pending = append(c.pending, r)
		answered(c)
	})
}

func (x *explorer) reads(w *modelState) {
	for at := range w.read {
		if w.read[at] == len(w.log) {
			if !w.ready[at] {
				x.try(w, fmt.Sprint("ready ", at), func(c *modelState) { c.ready[at] = true })
			}
			continue
		}
		x.try(w, fmt.Sprint("read ", at), func(c *modelState) { x.readOne(c, at) })
	}
}

func (x *explorer) readOne(c *modelState, at int) {
	offset := c.read[at]
	r := c.log[offset]
	var seen effect
	c.state[at], seen = x.protocol.apply(c.state[at], int64(offset), r.claim())
	c.read[at]++
	own := r.step == records.ClaimStart && instanceOf[r.request] == at && c.requests[r.request].claimed
	if !own {
		return
	}
	// An accepted claim is handled in a separate step, since the lease may
	// expire in between.
	switch seen {
	case effectLost:
		x.advance(c, r.request, eventLost, offset)
	case effectVoid:
		x.advance(c, r.request, eventVoid, offset)
	}
}

func (x *explorer) requestEvents(w *modelState) {
	for i, r := range w.requests {
		if !r.arrived || r.step == stepClosed {
			continue
		}
		if !r.claimed {
			x.claim(w, i)
			continue
		}
		x.progress(w, i, r)
	}
}

func (x *explorer) claim(w *modelState, i int) {
	claimed := func(c *modelState) { c.requests[i].claimed = true }
	x.append(w, fmt.Sprint("claim ", i), modelRecord{records.ClaimStart, i, w.requests[i].seen}, claimed, claimed)
}

// holds reports whether the instance of a request has read that the request
// holds the key.
func (w *modelState) holds(i int) bool {
	state := w.state[instanceOf[i]]
	return state.phase == phaseHeld && state.claimID == fmt.Sprint("c", i)
}

func (x *explorer) progress(w *modelState, i int, r modelRequest) {
	holds := w.holds(i)
	event := func(name string, e event) {
		x.try(w, fmt.Sprint(name, " ", i), func(c *modelState) { x.advance(c, i, e, len(c.log)) })
	}
	switch r.step {
	case stepClaiming:
		if holds {
			event("accepted", eventAccepted)
			event("accepted late", eventAcceptedLate)
		}
		event("given up", eventGivenUp)
	case stepCancelled:
		if holds {
			event("accepted after the answer", eventAccepted)
		}
	case stepSending:
		if !r.sent {
			event("not sent", eventNotSent)
			x.try(w, fmt.Sprint("send ", i), func(c *modelState) { x.send(c, i) })
			return
		}
		event("no answer", eventNoAnswer)
		if w.booked > 0 && w.inFlight == 0 {
			event("answered", eventAnswered)
		}
	case stepReleasing:
		x.outcome(w, i, records.ClaimReleased)
	case stepRecordingAnswer:
		x.outcome(w, i, records.ClaimDone)
	case stepRecordingUnknown:
		x.outcome(w, i, records.ClaimUnknown)
	}
}

func (x *explorer) send(c *modelState, i int) {
	if c.requests[i].mustNotSend || c.requests[i].reply != "" {
		x.fail(c, "request %d is sent after not_run", i)
	}
	c.requests[i].sent = true
	c.inFlight++
	c.sends++
}

func (x *explorer) outcome(w *modelState, i int, s records.ClaimStep) {
	r := modelRecord{s, i, 0}
	x.append(w, fmt.Sprint("outcome ", s, " ", i), r,
		func(c *modelState) { x.advance(c, i, eventRecorded, len(c.log)-1) },
		func(c *modelState) { x.advance(c, i, eventNotRecorded, len(c.log)) })
}

// advance applies one event to a request. The offset is that of the record which
// justifies the reply to the caller.
func (x *explorer) advance(c *modelState, i int, e event, offset int) {
	var do action
	if c.requests[i].step == stepRecordingAnswer && e == eventRecorded {
		c.requests[i].confirmed = true
	}
	c.requests[i].step, do = x.protocol.next(c.requests[i].step, e)
	switch do {
	case actionReturnAnswer:
		c.requests[i].reply = "answer"
	case actionReturnUnknown:
		c.requests[i].reply = "unknown"
	case actionReturnHolder:
		x.replyHolder(c, i)
	case actionReturnNotRun:
		x.replyNotRun(c, i, offset)
	case actionRelease:
		if c.requests[i].step == stepClosed {
			c.log = append(c.log, modelRecord{records.ClaimReleased, i, 0})
		}
	case actionSend, actionRecordAnswer, actionRecordUnknown, actionNone:
	}
}

func (x *explorer) replyHolder(c *modelState, i int) {
	c.requests[i].reply = "unknown"
	state := c.state[instanceOf[i]]
	holder := int(state.claimID[1] - '0')
	confirmed := instanceOf[holder] == instanceOf[i] && c.requests[holder].confirmed
	if state.phase == phaseDone || state.phase == phaseHeld && confirmed {
		c.requests[i].reply = "answer"
	}
}

// replyNotRun replies not_run. It also marks every request that arrived before
// the record at offset was read as one that must not be sent, since the caller
// abandoned it when it received the reply.
func (x *explorer) replyNotRun(c *modelState, i, offset int) {
	c.requests[i].reply = "not_run"
	if c.sends > 0 {
		x.fail(c, "request %d received not_run although the call was sent", i)
	}
	for j := range c.requests {
		if c.requests[j].arrived && c.requests[j].seen <= int64(offset) {
			c.requests[j].mustNotSend = true
		}
	}
}

// deliveries lets calls in flight and delayed appends arrive.
func (x *explorer) deliveries(w *modelState) {
	if w.inFlight > 0 {
		x.try(w, "booked", func(c *modelState) {
			c.inFlight--
			c.booked++
		})
	}
	for i, r := range w.pending {
		x.try(w, fmt.Sprint("late ", r.step, " ", r.request), func(c *modelState) {
			c.pending = slices.Delete(c.pending, i, i+1)
			c.log = append(c.log, r)
		})
	}
}

func (x *explorer) crash(w *modelState) {
	if w.crashes >= x.crashes {
		return
	}
	for at := range w.read {
		x.try(w, fmt.Sprint("crash ", at), func(c *modelState) {
			c.crashes++
			c.read[at], c.ready[at], c.state[at] = 0, false, keyState{}
			if x.protocol.ignoresGap {
				c.read[at] = len(c.log)
			}
			for i := range c.requests {
				if instanceOf[i] == at && c.requests[i].arrived {
					c.requests[i].step = stepClosed
					c.requests[i].claimed = true
				}
				if instanceOf[i] == at {
					c.requests[i].confirmed = false
				}
			}
		})
	}
}

// statusReads lets the second instance resolve a key by a status query.
func (x *explorer) statusReads(w *modelState) {
	state := w.state[1]
	if w.statusRead || !w.ready[1] || state.phase != phaseHeld && state.phase != phaseUnknown {
		return
	}
	holder := int(state.claimID[1] - '0')
	if w.booked > 0 || x.protocol.absenceSettles {
		x.try(w, "status query", func(c *modelState) {
			c.statusRead = true
			c.log = append(c.log, modelRecord{records.ClaimDone, holder, 0})
		})
	}
	if w.booked == 0 && x.protocol.absenceFrees {
		x.try(w, "status query finds nothing", func(c *modelState) {
			c.statusRead = true
			c.log = append(c.log, modelRecord{records.ClaimReleased, holder, 0})
		})
	}
}

// explore visits all states within the bounds. It returns the first violation, or
// "", and the number of states.
func explore(p protocol, b bounds) (string, int) {
	x := &explorer{protocol: p, seen: map[string]bool{}, bounds: b}
	x.visit(&modelState{ready: [2]bool{true, true}})
	return x.problem, len(x.seen)
}

// TestModelHoldsInEveryInterleaving checks that no interleaving runs a booking
// twice, loses a kept answer, or sends a false reply.
func TestModelHoldsInEveryInterleaving(t *testing.T) {
	for _, b := range []bounds{{2, 1, 1}, {2, 2, 0}, {3, 0, 0}} {
		problem, states := explore(realProtocol(), b)
		must.Eq(t, "", problem)
		t.Logf("%+v: %d states", b, states)
	}
}

// withNext returns a protocol with one transition broken.
func withNext(s step, e event, broken consequence) protocol {
	p := realProtocol()
	p.next = func(from step, happened event) (step, action) {
		if from == s && happened == e {
			return broken.step, broken.action
		}
		return next(from, happened)
	}
	return p
}

// withApply returns a protocol that interprets one kind of record wrongly.
func withApply(kind records.ClaimStep, broken func(s keyState, offset int64, r *records.Claim) (keyState, effect)) protocol {
	p := realProtocol()
	p.apply = func(s keyState, offset int64, r *records.Claim) (keyState, effect) {
		if r.Step == kind {
			return broken(s, offset, r)
		}
		return apply(s, offset, r)
	}
	return p
}

func lastClaimWins(s keyState, offset int64, r *records.Claim) (keyState, effect) {
	s.phase = phaseFree
	return apply(s, offset, r)
}

func noFence(s keyState, offset int64, r *records.Claim) (keyState, effect) {
	s.fence = 0
	return apply(s, offset, r)
}

func anyReleaseFrees(s keyState, offset int64, _ *records.Claim) (keyState, effect) {
	return keyState{fence: offset + 1}, effectNone
}

func lostAnswerWins(s keyState, _ int64, _ *records.Claim) (keyState, effect) {
	s.phase, s.answer = phaseUnknown, nil
	return s, effectNone
}

func answerFrees(_ keyState, offset int64, _ *records.Claim) (keyState, effect) {
	return keyState{fence: offset + 1}, effectNone
}

// TestModelFindsEveryBrokenRule checks that the model is strict enough: it must
// find the violation that follows from each broken rule.
func TestModelFindsEveryBrokenRule(t *testing.T) {
	absenceFrees, absenceSettles, ignoresGap := realProtocol(), realProtocol(), realProtocol()
	absenceFrees.absenceFrees = true
	absenceSettles.absenceSettles = true
	ignoresGap.ignoresGap = true
	cases := []struct {
		name   string
		broken protocol
		bounds bounds
		want   string
	}{
		{"a claim given up is called not_run", withNext(stepClaiming, eventGivenUp, consequence{stepCancelled, actionReturnNotRun}), bounds{2, 1, 0}, "not_run"},
		{"a claim given up is sent after all", withNext(stepCancelled, eventAccepted, consequence{stepSending, actionSend}), bounds{2, 0, 0}, "sent after"},
		{"a claim given up is never released", withNext(stepCancelled, eventAccepted, consequence{stepClosed, actionNone}), bounds{2, 0, 0}, "blocked"},
		{"a call without an answer is released", withNext(stepSending, eventNoAnswer, consequence{stepReleasing, actionRelease}), bounds{2, 0, 0}, "although"},
		{"a call without an answer is called not_run", withNext(stepRecordingUnknown, eventRecorded, consequence{stepClosed, actionReturnNotRun}), bounds{2, 0, 0}, "not_run although"},
		{"a lost claim is sent", withNext(stepClaiming, eventLost, consequence{stepSending, actionSend}), bounds{2, 0, 0}, "after not_run"},
		{"a lost claim is called not_run", withNext(stepClaiming, eventLost, consequence{stepClosed, actionReturnNotRun}), bounds{2, 0, 0}, "not_run"},
		{"a void claim is sent", withNext(stepClaiming, eventVoid, consequence{stepSending, actionSend}), bounds{3, 0, 0}, "not_run"},
		{"an unsent call is recorded as unknown", withNext(stepSending, eventNotSent, consequence{stepRecordingUnknown, actionRecordUnknown}), bounds{2, 0, 0}, "blocked"},
		{"an answer is not recorded", withNext(stepSending, eventAnswered, consequence{stepReleasing, actionRelease}), bounds{2, 0, 0}, "although"},
		{"the last claim wins", withApply(records.ClaimStart, lastClaimWins), bounds{2, 0, 0}, "after not_run"},
		{"a release does not void older claims", withApply(records.ClaimStart, noFence), bounds{2, 0, 0}, "after not_run"},
		{"any release frees the key", withApply(records.ClaimReleased, anyReleaseFrees), bounds{3, 1, 0}, "free although"},
		{"a lost answer replaces a kept one", withApply(records.ClaimUnknown, lostAnswerWins), bounds{2, 0, 0}, "kept answer"},
		{"an answer frees the key", withApply(records.ClaimDone, answerFrees), bounds{2, 0, 0}, "free although"},
		{"a status query that finds nothing frees the key", absenceFrees, bounds{2, 0, 0}, "free although"},
		{"a status query that finds nothing settles the key", absenceSettles, bounds{2, 0, 0}, "blocked although"},
		{"an instance acts in spite of a gap", ignoresGap, bounds{3, 0, 1}, "not_run although"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problem, states := explore(c.broken, c.bounds)
			must.StrContains(t, problem, c.want)
			t.Logf("found after %d states", states)
		})
	}
}
