package workload

import (
	"math"
	"time"

	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/decay"
)

const (
	// speedHalfLife is the age at which an observation of a server's speed has half of its
	// weight; the mean then decays by a factor of e in 30 s.
	speedHalfLife = 21 * time.Second
	// minPriorWeight and maxPriorWeight bound the weight of the prior speed of 1, in
	// observations. Where the servers differ by more than the observations of one vary, one
	// observation is informative: an instance of a large fleet sees a request per server in
	// several seconds.
	minPriorWeight = 0.5
	maxPriorWeight = 20
	// initialWithin and initialBetween are the variances, of natural logarithms, of the
	// observations of one server and between servers, while few were observed, and
	// initialVarianceWeight their weight in observations.
	initialWithin         = 0.1
	initialBetween        = 0.02
	initialVarianceWeight = 30
	// minServerWeight is the weight of the earlier observations of a server from which a
	// further one shows how much they vary.
	minServerWeight = 1
	// maxLogRatio bounds one observation, and maxLogSlowdown the estimate, as natural
	// logarithms: a factor of 6 and of 4. The speeds of one service differ by a factor of
	// 2.4, and a machine is slowed by 2.5.
	maxLogRatio    = 1.8
	maxLogSlowdown = 1.4
	// slownessLife is the age in which the logarithm of a reported slowness decays by a
	// factor of e. A machine is slow for about 600 ms at a time.
	slownessLife = 600 * time.Millisecond
	// trustHalfLife is the age at which an observation has half of its weight in the trust
	// in reports, trustPriorWeight the weight of full trust, and minTestedSlowness the
	// logarithm of the slowness from which an observation tests the report.
	trustHalfLife     = 30 * time.Second
	trustPriorWeight  = 4
	minTestedSlowness = 0.3
)

// variances holds how much the observed speeds of a service vary.
type variances struct{ within, total decay.Mean }

func (v *variances) add(now time.Time, deviation float64, known bool, fromReference float64) {
	v.total = v.total.Add(now, speedHalfLife, fromReference*fromReference)
	if known {
		// The mean of the earlier observations varies as well, which doubles the variance
		// at a weight of 1.
		v.within = v.within.Add(now, speedHalfLife, deviation*deviation)
	}
}

// priorWeight returns the weight of the prior speed of a server (empirical Bayes: Robbins,
// 1956): the variance of the observations of one server relative to that between servers.
func (v *variances) priorWeight(now time.Time) float64 {
	within := v.within.Value(now, speedHalfLife, initialWithin, initialVarianceWeight)
	total := v.total.Value(now, speedHalfLife, initialWithin+initialBetween, initialVarianceWeight)
	return min(max(within/max(total-within, 1e-6), minPriorWeight), maxPriorWeight)
}

// slowdown returns how long work takes at a server, relative to the reference of its
// service: the learned speed of the server times the slowness that its machine reports.
func slowdown(pace *backends.Pace, load *backends.Load, prior float64, now time.Time) float64 {
	logSlowdown := learned(pace, prior, now)
	if reported := reportedSlowness(load, now); reported != 0 {
		logSlowdown += reported * pace.ReportTrust.Value(now, trustHalfLife, 1, trustPriorWeight)
	}
	if logSlowdown == 0 {
		return 1
	}
	return math.Exp(clamp(logSlowdown, maxLogSlowdown))
}

// learned returns the logarithm of the slowdown of a server by all observations, those of this
// instance and those that others state.
func learned(pace *backends.Pace, prior float64, now time.Time) float64 {
	if pace.Stated == (decay.Mean{}) {
		return pace.Slowdown.Value(now, speedHalfLife, 0, prior)
	}
	return pace.Slowdown.Value(now, speedHalfLife, pace.Stated.Value(now, speedHalfLife, 0, prior), pace.Stated.Weight(now, speedHalfLife)+prior)
}

// reportedSlowness returns the logarithm of the slowness that the server reported, decayed by
// the age of the report.
func reportedSlowness(load *backends.Load, now time.Time) float64 {
	if load.Slowness <= 0 || load.Slowness == 1 {
		return 0
	}
	age := max(now.Sub(load.ReadAt), 0)
	return clamp(math.Log(load.Slowness), maxLogSlowdown) * math.Exp(-float64(age)/float64(slownessLife))
}

// observeRatio records the logarithm of a time at a server relative to the reference. What
// the report of the machine explains does not count as the server's speed.
func (s *service) observeRatio(server *backends.Backend, logRatio, weight float64, now time.Time) {
	logRatio = clamp(logRatio, maxLogRatio)
	s.mu.Lock()
	prior := s.variances.priorWeight(now)
	s.mu.Unlock()
	var deviation, fromReference float64
	var known bool
	server.UpdatePace(func(pace backends.Pace, load *backends.Load) backends.Pace {
		reported := reportedSlowness(load, now)
		explained := reported * pace.ReportTrust.Value(now, trustHalfLife, 1, trustPriorWeight)
		if math.Abs(reported) >= minTestedSlowness {
			observed := (logRatio - learned(&pace, prior, now)) / reported
			pace.ReportTrust = pace.ReportTrust.AddWeighted(now, trustHalfLife, min(max(observed, 0), 1), weight)
		}
		fromReference = logRatio - explained
		deviation, known = fromReference-learned(&pace, 0.01, now), pace.Slowdown.Weight(now, speedHalfLife)+pace.Stated.Weight(now, speedHalfLife) >= minServerWeight
		pace.Slowdown = pace.Slowdown.AddWeighted(now, speedHalfLife, logRatio-explained, weight)
		return pace
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.variances.add(now, deviation, known, fromReference)
}

func clamp(value, bound float64) float64 { return min(max(value, -bound), bound) }
