package dispatch

import (
	"context"
	"expvar"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/requests"
)

const (
	// ratingTimeout bounds the wait for one rating.
	ratingTimeout = 2 * time.Second
	// maxLateRatings bounds the ratings that are asked for after the answer.
	maxLateRatings = 64
	// lateRatingWeight is the latency weight of a kind from which the last
	// step is rated after its answer was given.
	lateRatingWeight = 0.5
)

var lateRatingsDropped = expvar.NewInt("late_ratings_dropped")

// evaluate rates the answer of a step where the plan asks for it, and reports
// whether the answer may be given. Without a rating that it needs an answer is
// not given while a stronger step is left, since it may be below the target.
func (r *Router) evaluate(ctx context.Context, u *run, call *ChatCall, plan *cascade.Plan, i int, t *stepAnswer) bool {
	last := i == len(plan.Steps)-1
	result := stepUnrated
	good := last
	switch {
	case plan.QualityTarget == 0:
		result = stepAccepted
	case !plan.MustRate(i, call.RequestID):
		good = true
	case last && (plan.RatingDown || call.Kind.LatencyWeight >= lateRatingWeight):
		r.rateLater(call, plan, i, t)
	default:
		r.rate(ctx, call, plan, i, t)
		if t.rated {
			good = t.rating >= plan.QualityTarget
			result = stepBelowTarget
		}
		if t.rated && good {
			result = stepAccepted
		}
	}
	tokens := totalTokens(t.answer)
	u.recordStep(requests.Step{
		VersionID: t.step.VersionID, Rollout: t.step.Rollout, Rating: t.rating, Result: result,
		Micros: u.micros(t.step.VersionID, tokens), TookMS: t.took.Milliseconds(),
	}, tokens)
	r.Learner.Observe(t.sample(call, plan))
	return good
}

func (t *stepAnswer) sample(call *ChatCall, plan *cascade.Plan) *Sample {
	sample := sampleOf(call, t.step)
	sample.Took = t.took
	sample.Rated, sample.Rating = t.rated, t.rating
	sample.Accepted = t.rated && t.rating >= plan.QualityTarget
	return sample
}

// rate asks for the rating of an answer and lets the cascade learn from it.
func (r *Router) rate(ctx context.Context, call *ChatCall, plan *cascade.Plan, i int, t *stepAnswer) {
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	rating, err := r.Rater.Rate(ctx, &platform.RatingRequest{
		RequestID: call.RequestID,
		VersionID: t.step.VersionID,
		Prompt:    promptText(call.Request.Messages),
		Answer:    t.text,
	})
	if err != nil {
		r.Ratings.ObserveMissing(r.Now())
		return
	}
	r.Ratings.ObserveRating()
	t.rated, t.rating = true, rating.Score
	accepted := rating.Score >= plan.QualityTarget
	r.Acceptance.ObserveRating(cascade.Key{Cascade: call.Request.Model, Kind: call.Kind.Name, VersionID: t.step.VersionID, Account: call.Account.Name, Escalated: i > 0}, accepted)
	if plan.Strongest(i) {
		quality := call.Config.Index.Version(t.step.VersionID).Quality
		r.Ratings.ObserveStrongest(accepted, cascade.Prior(quality, plan.QualityTarget))
	}
}

// rateLater rates an answer that is given without waiting for its rating. Of
// too many at once the rest go unrated.
func (r *Router) rateLater(call *ChatCall, plan *cascade.Plan, i int, t *stepAnswer) {
	if r.lateRatings.Add(1) > maxLateRatings {
		r.lateRatings.Add(-1)
		lateRatingsDropped.Add(1)
		return
	}
	late := &stepAnswer{step: t.step, text: t.text}
	go func() {
		defer r.lateRatings.Add(-1)
		r.rate(context.Background(), call, plan, i, late)
		if !late.rated {
			return
		}
		sample := late.sample(call, plan)
		sample.RatingOnly = true
		r.Learner.Observe(sample)
	}()
}

// rateStream rates a streamed answer after its end, for the next plans: its
// tokens can't be taken back.
func (r *Router) rateStream(s *ChatStream) {
	if s.plan.QualityTarget == 0 || s.notContinuable || !s.plan.MustRate(s.stepIndex, s.call.RequestID) {
		return
	}
	r.rateLater(s.call, s.plan, s.stepIndex, &stepAnswer{step: s.step, text: s.text.String()})
}

func promptText(messages []openai.Message) string {
	if len(messages) == 0 {
		return ""
	}
	return string(messages[len(messages)-1].Content)
}
