package claims

import (
	"slices"

	"medlarslip/internal/protocol/records"
)

// phase is the progress of the call of one key, according to the log alone.
type phase uint8

const (
	// phaseFree means that no call with the key was sent, and that no claim read
	// so far holds the key.
	phaseFree phase = iota
	// phaseHeld means that one claim holds the key; its call may have run.
	phaseHeld
	// phaseUnknown means that the call was sent and its answer was lost.
	phaseUnknown
	// phaseDone means that the call ran and its answer is kept.
	phaseDone
)

// keyState is the state of one key according to the log. The zero value is a key
// that was never claimed.
type keyState struct {
	phase       phase
	claimID     string
	fingerprint string
	// answer is nil in phaseDone if it was dropped from memory.
	answer *records.KeptAnswer
	// offset is that of the latest record of the claim that holds the key which has its phase, and thus of the
	// record that holds its answer.
	offset int64
	// fence voids every claim whose writer had not read the log up to this
	// offset when its request arrived. It follows the latest record for which a
	// caller may have received the outcome not_run.
	fence int64
	// freed follows the record that freed a free key. Releases that are read later raise the fence only: they may be
	// copies, so that they don't prove that no other claim holds the key. released are the claims that they name.
	freed    int64
	released []string
}

// effect is the effect of one start record.
type effect int

const (
	effectNone effect = iota
	// effectAccepted means that the claim holds the key.
	effectAccepted
	// effectLost means that another claim holds the key.
	effectLost
	// effectVoid means that the request of the claim arrived before a release
	// of the key was read.
	effectVoid
	// effectDoubtful means that the claim holds the key, unless a missed claim
	// does. Its call must not be sent.
	effectDoubtful
)

// apply returns the state of a key after one more record. Only apply interprets
// claims, so that all instances derive the same state from the same records.
func apply(s keyState, offset int64, r *records.Claim) (keyState, effect) {
	switch r.Step {
	case records.ClaimStart:
		return applyStart(s, offset, r)
	case records.ClaimReleased:
		return applyReleased(s, offset, r), effectNone
	case records.ClaimUnknown:
		return applyOutcome(s, offset, r, phaseUnknown), effectNone
	case records.ClaimDone:
		return applyOutcome(s, offset, r, phaseDone), effectNone
	case records.ClaimForgotten:
		if s.phase != phaseFree && s.claimID == r.ClaimID {
			return freeKey(offset), effectNone
		}
	}
	return s, effectNone
}

// applyStart lets a claim take the key, unless another claim holds the key or a
// release voids the claim.
func applyStart(s keyState, offset int64, r *records.Claim) (keyState, effect) {
	if r.Snapshot {
		return applySnapshot(s, offset, r, phaseHeld), effectNone
	}
	if s.phase != phaseFree && s.claimID == r.ClaimID {
		return s, effectNone
	}
	if s.phase != phaseFree {
		return s, effectLost
	}
	if r.Seen < s.fence {
		return s, effectVoid
	}
	return keyState{phase: phaseHeld, claimID: r.ClaimID, fingerprint: r.Fingerprint, offset: offset, fence: s.fence}, effectAccepted
}

// applyReleased frees the key. Only the writer of a claim appends its release,
// and only after it has decided never to send the call.
func applyReleased(s keyState, offset int64, r *records.Claim) keyState {
	if s.phase == phaseFree {
		s.fence = max(s.fence, offset+1)
		if !slices.Contains(s.released, r.ClaimID) {
			s.released = append(slices.Clip(s.released), r.ClaimID)
		}
		return s
	}
	if s.claimID != r.ClaimID || s.phase == phaseDone {
		return s
	}
	return freeKey(offset)
}

// freeKey returns the state of a key that the record at an offset has freed.
func freeKey(offset int64) keyState { return keyState{fence: offset + 1, freed: offset + 1} }

// applyOutcome records the outcome of the claim that holds the key. A later
// phase is never replaced by an earlier one.
func applyOutcome(s keyState, offset int64, r *records.Claim, to phase) keyState {
	if r.Snapshot {
		return applySnapshot(s, offset, r, to)
	}
	if s.phase == phaseFree && s.fence == 0 {
		// Retention removed the start record.
		return keyState{phase: to, claimID: r.ClaimID, fingerprint: r.Fingerprint, answer: r.Answer, offset: offset}
	}
	if s.phase == phaseFree || s.claimID != r.ClaimID || s.phase >= to {
		return s
	}
	s.phase, s.answer, s.offset = to, r.Answer, offset
	return s
}

// applySnapshot applies a snapshot record. Its writer may lag behind the log,
// so a snapshot never reverts the effect of later records.
func applySnapshot(s keyState, offset int64, r *records.Claim, to phase) keyState {
	if s.phase == phaseFree && r.Origin < s.fence {
		return s
	}
	if s.phase != phaseFree && s.claimID != r.ClaimID {
		return s
	}
	if s.phase > to || s.phase == to && to == phaseDone && r.Answer == nil {
		// The offset stays that of the record with the answer, which this one lacks.
		return s
	}
	if s.phase == to && s.answer != nil && !s.answer.FromStatus && r.Answer.FromStatus {
		// The writer did not find the answer of the call in the log, and took that of a status request.
		return s
	}
	if s.phase < to {
		s.phase, s.claimID, s.fingerprint = to, r.ClaimID, r.Fingerprint
	}
	s.answer, s.offset = r.Answer, offset
	return s
}

// step is the progress of one request in claiming and running its call.
type step int

const (
	// stepClaiming waits until the request's claim is read back.
	stepClaiming step = iota
	// stepCancelled has answered the caller, but the claim may still take
	// effect.
	stepCancelled
	// stepSending sends the call to the service and waits for its answer.
	stepSending
	// stepReleasing records that the call is never sent.
	stepReleasing
	// stepRecordingAnswer records the answer.
	stepRecordingAnswer
	// stepRecordingUnknown records that the answer was lost.
	stepRecordingUnknown
	// stepClosed is final.
	stepClosed
)

// event is an event in the course of a request.
type event int

const (
	// eventAccepted means that the request's claim was read back and holds the
	// key, and that the lease, measured on the monotonic clock from before the
	// append, has not expired.
	eventAccepted event = iota
	// eventAcceptedLate means the same, except that the lease has expired.
	eventAcceptedLate
	// eventLost means that another claim holds the key.
	eventLost
	// eventVoid means that a release of the key voids the claim.
	eventVoid
	// eventGivenUp means that the log refused the claim, or that it was not
	// read back in time.
	eventGivenUp
	// eventAnswered means that the service answered the call.
	eventAnswered
	// eventNotSent means that no byte of the call left this instance.
	eventNotSent
	// eventNoAnswer means that the call may have run.
	eventNoAnswer
	// eventRecorded means that the log confirmed the outcome.
	eventRecorded
	// eventNotRecorded means that the log did not confirm the outcome in time;
	// the append is retried in the background.
	eventNotRecorded
)

// action is the next action of a request.
type action int

const (
	actionNone action = iota
	actionSend
	actionRecordAnswer
	actionRecordUnknown
	actionRelease
	actionReturnAnswer
	actionReturnNotRun
	actionReturnUnknown
	// actionReturnHolder returns the result of the claim that holds the key.
	actionReturnHolder
)

// transition is an event in a step.
type transition struct {
	step  step
	event event
}

// consequence is the result of a transition.
type consequence struct {
	step   step
	action action
}

// transitions is the state machine of a request. Transitions that are not listed
// have no effect.
var transitions = map[transition]consequence{
	{stepClaiming, eventAccepted}:     {stepSending, actionSend},
	{stepClaiming, eventAcceptedLate}: {stepReleasing, actionRelease},
	{stepClaiming, eventLost}:         {stepClosed, actionReturnHolder},
	// A later request may have claimed the key since, so a void claim doesn't
	// prove that nothing ran. Only the writer of the release that voided it can
	// reply not_run.
	{stepClaiming, eventVoid}:    {stepClosed, actionReturnUnknown},
	{stepClaiming, eventGivenUp}: {stepCancelled, actionReturnUnknown},

	{stepCancelled, eventAccepted}:     {stepClosed, actionRelease},
	{stepCancelled, eventAcceptedLate}: {stepClosed, actionRelease},

	{stepSending, eventAnswered}: {stepRecordingAnswer, actionRecordAnswer},
	{stepSending, eventNoAnswer}: {stepRecordingUnknown, actionRecordUnknown},
	{stepSending, eventNotSent}:  {stepReleasing, actionRelease},

	// The claim holds the key until its release is read, and the release voids
	// claims of requests that arrived before it. So not_run is true whether the
	// release is recorded already or only later.
	{stepReleasing, eventRecorded}:           {stepClosed, actionReturnNotRun},
	{stepReleasing, eventNotRecorded}:        {stepClosed, actionReturnNotRun},
	{stepRecordingAnswer, eventRecorded}:     {stepClosed, actionReturnAnswer},
	{stepRecordingAnswer, eventNotRecorded}:  {stepClosed, actionReturnAnswer},
	{stepRecordingUnknown, eventRecorded}:    {stepClosed, actionReturnUnknown},
	{stepRecordingUnknown, eventNotRecorded}: {stepClosed, actionReturnUnknown},
}

// next returns the step and the action that follow an event in step s.
func next(s step, e event) (step, action) {
	c, ok := transitions[transition{s, e}]
	if !ok {
		return s, actionNone
	}
	return c.step, c.action
}
