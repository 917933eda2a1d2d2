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
	// ratingTimeout is the timeout of one rating.
	ratingTimeout = 2 * time.Second
	// maxLateRatings is the maximum number of concurrent ratings of answers
	// that have already been returned.
	maxLateRatings = 64
	// lateRatingWeight is the latency weight of a kind from which the answer of
	// the last step is returned before it is rated.
	lateRatingWeight = 0.5
)

var lateRatingsDropped = expvar.NewInt("late_ratings_dropped")

// evaluate rates the answer of a step if the plan requires it, and reports
// whether the answer is accepted. If the required rating is missing, the answer
// is not accepted while there is a stronger step, since it may be below the
// target.
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

// rate requests the rating of an answer and updates the estimates of the cascade
// with it. It leaves t unrated if the rating service fails.
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

// rateLater rates an answer in the background, so that it is returned without
// waiting. Ratings above maxLateRatings and LateRatingBytes are dropped, since the
// account of the request does not cover them.
func (r *Router) rateLater(call *ChatCall, plan *cascade.Plan, i int, t *stepAnswer) {
	size := int64(len(t.text))
	for _, value := range call.Body {
		size += int64(len(value))
	}
	ratings, held := r.lateRatings.Add(1), r.lateRatingBytes.Add(size)
	end := func() {
		r.lateRatings.Add(-1)
		r.lateRatingBytes.Add(-size)
	}
	if ratings > maxLateRatings || r.LateRatingBytes > 0 && held > r.LateRatingBytes {
		end()
		lateRatingsDropped.Add(1)
		return
	}
	late := &stepAnswer{step: t.step, text: t.text}
	go func() {
		defer end()
		r.rate(context.Background(), call, plan, i, late)
		if !late.rated {
			return
		}
		sample := late.sample(call, plan)
		sample.RatingOnly = true
		r.Learner.Observe(sample)
	}()
}

// rateStream rates a streamed answer after its end. Its tokens can't be
// withdrawn, so the rating only serves later plans.
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
