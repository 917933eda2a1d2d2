package dispatch

import (
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
)

// fail ends a stream that can't be completed, and returns its refusal.
func (s *ChatStream) fail(err error) error {
	refused := stepRefusal(s.ctx, s.step.VersionID, err)
	refused.RequestID = s.call.RequestID
	refused.Outcome = refusal.Unknown
	s.finishUnknown(refused.Message)
	return refused
}

func (s *ChatStream) finishUnknown(reason string) {
	if s.closed {
		return
	}
	s.closed = true
	s.recordStep(stepFailed)
	s.run.finish(s.caller, string(refusal.Unknown), reason)
}

// recordStep records the step with the tokens that were generated so far.
func (s *ChatStream) recordStep(result string) {
	tokens := s.chunks
	if s.usage != nil && !s.continued {
		tokens = s.usage.TotalTokens
	}
	s.run.recordStep(requests.Step{VersionID: s.step.VersionID, Rollout: s.step.Rollout, Result: result, Micros: s.run.micros(s.step.VersionID, tokens)}, tokens)
	s.router.Learner.Observe(&Sample{
		Account: s.call.Account.Name, Kind: s.call.Kind.Name, Model: s.step.Model,
		VersionID: s.step.VersionID, Rollout: s.step.Rollout, Failed: result == stepFailed,
	})
}

// release frees the resources of the stream.
func (s *ChatStream) release() {
	s.closeStream()
	s.heldText.Release()
	if s.server != nil {
		s.router.settle(s.server, backends.CallNeutral)
		s.server = nil
	}
	s.cancel()
}

// Close ends the stream. If it was not read to its end, it is cancelled at the
// engine and billed for the tokens that were generated.
func (s *ChatStream) Close() {
	s.release()
	s.finishUnknown("the caller went away")
}
