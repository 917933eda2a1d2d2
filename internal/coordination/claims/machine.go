package claims

import "medlarslip/internal/protocol/records"

// phase says how far the call of one key has come, by the log alone.
type phase int

const (
	// phaseFree means that no call with the key was sent, and that every claim
	// read so far is closed.
	phaseFree phase = iota
	// phaseHeld means that one claim holds the key; its call may have run.
	phaseHeld
	// phaseUnknown means that the call was sent and its answer was lost.
	phaseUnknown
	// phaseDone means that the call ran and its answer is kept.
	phaseDone
)

// keyState is what the log says of one key. The zero value is a key that was
// never claimed.
type keyState struct {
	phase       phase
	claimID     string
	fingerprint string
	answer      *records.KeptAnswer
	// offset is that of the latest record of the claim that holds the key.
	offset int64
	// fence voids every claim whose writer had not read up to here when its
	// request arrived. It lies behind the latest record by which a caller may
	// have been told that nothing ran.
	fence int64
}

// effect is what the log made of one start record.
type effect int

const (
	effectNone effect = iota
	// effectAccepted means that the claim holds the key.
	effectAccepted
	// effectLost means that another claim holds the key.
	effectLost
	// effectVoid means that the claim is older than a release of the key.
	effectVoid
)

// apply returns the state of a key after one more record. It is the only
// reader of claims, so that all instances draw the same conclusions from the
// same records.
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
			return keyState{fence: offset + 1}, effectNone
		}
	}
	return s, effectNone
}

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

// applyReleased frees the key. Only the holder of a claim appends this, and
// only after it has decided never to send.
func applyReleased(s keyState, offset int64, r *records.Claim) keyState {
	if s.phase == phaseFree {
		s.fence = max(s.fence, offset+1)
		return s
	}
	if s.claimID != r.ClaimID || s.phase == phaseDone {
		return s
	}
	return keyState{fence: offset + 1}
}

func applyOutcome(s keyState, offset int64, r *records.Claim, to phase) keyState {
	if r.Snapshot {
		return applySnapshot(s, offset, r, to)
	}
	if s.phase == phaseFree && s.fence == 0 {
		// The start record was removed by retention.
		return keyState{phase: to, claimID: r.ClaimID, fingerprint: r.Fingerprint, answer: r.Answer, offset: offset}
	}
	if s.phase == phaseFree || s.claimID != r.ClaimID || s.phase >= to {
		return s
	}
	s.phase, s.answer, s.offset = to, r.Answer, offset
	return s
}

// applySnapshot takes a snapshot record. Its writer may have been behind, so it
// never undoes what is known from later records.
func applySnapshot(s keyState, offset int64, r *records.Claim, to phase) keyState {
	if s.phase == phaseFree && r.Origin < s.fence {
		return s
	}
	if s.phase != phaseFree && s.claimID != r.ClaimID {
		return s
	}
	if s.phase < to {
		s.phase, s.claimID, s.fingerprint, s.answer = to, r.ClaimID, r.Fingerprint, r.Answer
	}
	s.offset = max(s.offset, offset)
	return s
}

// step says how far one request has come in claiming and running its call.
type step int

const (
	// stepClaiming waits to read the own claim back.
	stepClaiming step = iota
	// stepCancelled has answered the caller while the claim may still land.
	stepCancelled
	// stepSending has the call on its way to the service.
	stepSending
	// stepReleasing records that the call is never sent.
	stepReleasing
	// stepRecordingAnswer records the answer.
	stepRecordingAnswer
	// stepRecordingUnknown records that the answer was lost.
	stepRecordingUnknown
	// stepClosed does nothing any more.
	stepClosed
)

// event is what happened to a request.
type event int

const (
	// eventAccepted means that the own claim was read back as the holder, and
	// that the lease, measured on the monotonic clock from before the append,
	// still runs.
	eventAccepted event = iota
	// eventAcceptedLate is the same with the lease over.
	eventAcceptedLate
	eventLost
	eventVoid
	// eventGivenUp means that the claim was refused by the log or not read
	// back in time.
	eventGivenUp
	eventAnswered
	// eventNotSent means that no byte of the call left this instance.
	eventNotSent
	// eventNoAnswer means that the call may have run.
	eventNoAnswer
	eventRecorded
	// eventNotRecorded means that the log did not confirm the outcome in
	// time; the append is tried again without the caller.
	eventNotRecorded
)

// action is what a request does next.
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
	// actionReturnHolder tells what is known of the claim that holds the key.
	actionReturnHolder
)

type transition struct {
	step  step
	event event
}

type consequence struct {
	step   step
	action action
}

// transitions is the whole order of steps of one request. What it does not
// list changes nothing.
var transitions = map[transition]consequence{
	{stepClaiming, eventAccepted}:     {stepSending, actionSend},
	{stepClaiming, eventAcceptedLate}: {stepReleasing, actionRelease},
	{stepClaiming, eventLost}:         {stepClosed, actionReturnHolder},
	// A later request may have claimed the key since, so that only the release
	// that voided the claim can say what ran.
	{stepClaiming, eventVoid}:    {stepClosed, actionReturnUnknown},
	{stepClaiming, eventGivenUp}: {stepCancelled, actionReturnUnknown},

	{stepCancelled, eventAccepted}:     {stepClosed, actionRelease},
	{stepCancelled, eventAcceptedLate}: {stepClosed, actionRelease},

	{stepSending, eventAnswered}: {stepRecordingAnswer, actionRecordAnswer},
	{stepSending, eventNoAnswer}: {stepRecordingUnknown, actionRecordUnknown},
	{stepSending, eventNotSent}:  {stepReleasing, actionRelease},

	// The claim holds the key until its release is read, and the release voids
	// what arrived before it, so that not_run holds with the record or before.
	{stepReleasing, eventRecorded}:           {stepClosed, actionReturnNotRun},
	{stepReleasing, eventNotRecorded}:        {stepClosed, actionReturnNotRun},
	{stepRecordingAnswer, eventRecorded}:     {stepClosed, actionReturnAnswer},
	{stepRecordingAnswer, eventNotRecorded}:  {stepClosed, actionReturnAnswer},
	{stepRecordingUnknown, eventRecorded}:    {stepClosed, actionReturnUnknown},
	{stepRecordingUnknown, eventNotRecorded}: {stepClosed, actionReturnUnknown},
}

// next returns the step and the action that follow an event.
func next(s step, e event) (step, action) {
	c, ok := transitions[transition{s, e}]
	if !ok {
		return s, actionNone
	}
	return c.step, c.action
}
