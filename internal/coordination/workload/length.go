package workload

import (
	"math"
	"time"

	"medlarslip/internal/state/decay"
)

const (
	// lengthHalfLife is the age at which an answer has half of its weight.
	lengthHalfLife = 30 * time.Second
	// initialLength is the expected length of an answer without observations or hint, in
	// events, and initialSpread the standard deviation of its logarithm.
	initialLength = 32
	initialSpread = 0.8
	// lengthPriorWeight is the weight of these, in answers.
	lengthPriorWeight = 2
	// minHintedWeight is the weight of answers with a hint from which hints are used: a
	// regression over fewer depends on chance.
	minHintedWeight = 5
	// lowSpread and highSpread bound, in standard deviations, how far a hint moves the
	// expectation. A client that understates its length is still expected to use about what
	// the others of its route use; one that overstates gets no more than a long answer.
	lowSpread  = 1.0
	highSpread = 2.0
	// highQuantile is the standard score of the high quantile of a length, 0.9.
	highQuantile = 1.28
)

// lengthKey identifies answers of similar length.
type lengthKey struct{ route, model string }

// lengths holds decayed moments of the logarithms of lengths and hints.
type lengths struct {
	own       decay.Moments
	hinted    hintMoments
	updatedAt time.Time
}

// hintMoments holds the moments over the answers with a hint: x is the logarithm of the hint
// and y that of the length.
type hintMoments struct{ weight, x, y, xx, xy float64 }

func (l *lengths) decay(now time.Time) {
	if !l.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(l.updatedAt)) / float64(lengthHalfLife))
		for _, moment := range []*float64{&l.hinted.weight, &l.hinted.x, &l.hinted.y, &l.hinted.xx, &l.hinted.xy} {
			*moment *= factor
		}
	}
	l.updatedAt = now
}

func (l *lengths) add(now time.Time, hint, length int) {
	l.decay(now)
	y := math.Log(float64(max(length, 1)))
	l.own = l.own.At(now, lengthHalfLife).Plus(decay.MomentsAt(now, 1, y, y*y))
	if hint <= 0 {
		return
	}
	x := math.Log(float64(hint))
	l.hinted.weight++
	l.hinted.x += x
	l.hinted.y += y
	l.hinted.xx += x * x
	l.hinted.xy += x * y
}

// expect returns the mean and a high quantile of the length of an answer. limit is the
// maximum length; 0 if unknown, and stated what other instances observed.
func (l *lengths) expect(hint, limit int, stated decay.Moments, now time.Time) (mean, high float64) {
	prior := math.Log(initialLength)
	if hint > 0 {
		prior = math.Log(float64(hint))
	}
	if limit > 0 {
		prior = min(prior, math.Log(float64(limit)))
	}
	center, variance := prior, initialSpread*initialSpread
	if l == nil {
		l = &lengths{}
	}
	known := l.own
	if stated.Weight > 0 {
		known = known.At(now, lengthHalfLife).Plus(stated)
	}
	if known.Weight > 0 {
		weight := known.Weight + lengthPriorWeight
		center = (known.Sum + lengthPriorWeight*prior) / weight
		squares := max(known.Squares-known.Sum*known.Sum/known.Weight, 0)
		variance = (squares + lengthPriorWeight*initialSpread*initialSpread) / weight
		spread := math.Sqrt(variance)
		shift, explained := l.shift(hint)
		center += min(max(shift, -lowSpread*spread), highSpread*spread)
		variance *= 1 - explained
	}
	mean = math.Exp(center + variance/2)
	high = math.Exp(center + highQuantile*math.Sqrt(variance))
	if limit > 0 {
		mean, high = min(mean, float64(limit)), min(high, float64(limit))
	}
	return mean, high
}

// shift returns how far a hint moves the logarithm of the length, and the share of the
// variance that hints explain, by linear regression. Random errors of the hints lower the
// slope; a bias that all hints share has no effect.
func (l *lengths) shift(hint int) (shift, explained float64) {
	h := &l.hinted
	if hint <= 0 || h.weight < minHintedWeight {
		return 0, 0
	}
	meanX, meanY := h.x/h.weight, h.y/h.weight
	varX, cov := h.xx/h.weight-meanX*meanX, h.xy/h.weight-meanX*meanY
	if varX <= 1e-6 || cov <= 0 {
		return 0, 0
	}
	slope := min(cov/varX, 1)
	if varY := l.own.Squares/l.own.Weight - l.own.Sum/l.own.Weight*(l.own.Sum/l.own.Weight); varY > 1e-6 {
		explained = min(slope*cov/varY, 0.9)
	}
	return slope * (math.Log(float64(hint)) - meanX), explained
}
