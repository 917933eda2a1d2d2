package workload

import "math"

// Size is the class of the expected work of a request among those of its route.
type Size int

// Classes of expected work. SizeUnknown is that of a request without known work, such as one that
// is not for a model server.
const (
	SizeUnknown Size = iota
	// SizeSmallest is the smallest third of the requests of a route, SizeLargest the largest
	// tenth, and SizeLarge the fifth below it.
	SizeSmallest
	SizeMiddle
	SizeLarge
	SizeLargest
)

var sizeNames = [...]string{"", "smallest", "middle", "large", "largest"}

// String returns the name of a class; empty for SizeUnknown.
func (s Size) String() string { return sizeNames[s] }

const (
	// largestFrom, largeFrom and middleFrom are the shares of the requests of a route that are
	// smaller than those of a class.
	largestFrom = 0.9
	largeFrom   = 0.7
	middleFrom  = 1.0 / 3
	// minSizeCount is the number of requests of a route from which its classes are known.
	minSizeCount = 20
	// sizeMemory is the number of requests in which the weight of a request decays by a factor
	// of e. The decay is by requests, as for references, so that routes with few requests have
	// classes too. With 500, the share of the largest tenth has a standard error of 0.01.
	sizeMemory = 500
	// Work is kept relative to the mean of its route, in buckets of equal width on a logarithmic
	// scale: sizeStepsPerOctave for each factor of two, from 1/2^sizeOctaves to 2^sizeOctaves.
	// A bucket holds at most 0.04 of logarithmic normal work of a spread of 0.5. Work that differs
	// by less than a step, a factor of 1.04, counts as equal: the learned times of prompts and
	// events vary by about as much.
	sizeStepsPerOctave = 16
	sizeOctaves        = 5
	sizeBuckets        = 2*sizeOctaves*sizeStepsPerOctave + 1
)

// Sizes learns the classes of expected work, by route and model. The zero value is ready to use. It
// is not safe for concurrent use.
type Sizes struct {
	byKey map[lengthKey]*sizes
}

// sizes holds the work of the requests of one route and model, 688 bytes.
type sizes struct {
	count int
	// weight is the weight of all requests, and the sums are those of what follows, weighted.
	weight float64
	// eventTime and promptFactor give the means of the time of an event and of the factor of
	// prompts, in which work is measured: the present values change from request to request by
	// more than the requests of some routes differ.
	eventTime, promptFactor float64
	// logWork gives the mean of the binary logarithm of the work, and buckets the distribution of
	// the ratio to that mean. A mean of logarithms, as for lengths, hardly moves with single
	// requests, and follows a lower level as fast as a higher one.
	logWork float64
	buckets [sizeBuckets]float32
}

// sizeBucket returns the bucket of the binary logarithm of a ratio to the mean. A ratio of 1 is in the
// middle of one, so that requests of equal work stay in the same bucket.
func sizeBucket(logRatio float64) int {
	position := math.Round(sizeStepsPerOctave * (logRatio + sizeOctaves))
	return int(min(max(position, 0), sizeBuckets-1))
}

// Classify returns the class of a request among the earlier ones of its route whose first run is for
// the same model, and adds the request to them. The saving of a warm cache is not known before a
// server is chosen and is not subtracted from the prompt. It is called once for each request. With
// few earlier requests, or at the bound of maxKeys, the class is SizeMiddle.
func (s *Sizes) Classify(route, model string, expected *Expectation) Size {
	if expected.Prefill+expected.Generation <= 0 {
		return SizeUnknown
	}
	if s.byKey == nil {
		s.byKey = map[lengthKey]*sizes{}
	}
	found := lookup(s.byKey, lengthKey{route, model})
	if found == nil {
		return SizeMiddle
	}
	return found.classify(expected)
}

// work returns the expected work, in seconds: the prompt, and the events after the first one, at the
// mean times of one.
func (z *sizes) work(expected *Expectation) float64 {
	prompt, events := expected.Prefill.Seconds()/expected.PromptFactor, 0.0
	if expected.EventTime > 0 {
		events = float64(expected.Generation) / float64(expected.EventTime)
	}
	return prompt*z.promptFactor/z.weight + events*z.eventTime/z.weight
}

func (z *sizes) classify(expected *Expectation) Size {
	const keep = 1 - 1.0/sizeMemory
	z.weight = keep*z.weight + 1
	z.eventTime = keep*z.eventTime + expected.EventTime.Seconds()
	z.promptFactor = keep*z.promptFactor + expected.PromptFactor
	logWork := math.Log2(z.work(expected))
	z.logWork = keep*z.logWork + logWork
	bucket := sizeBucket(logWork - z.logWork/z.weight)
	var below, total float32
	for i, weight := range z.buckets {
		if i < bucket {
			below += weight
		}
		total += weight
		z.buckets[i] = keep * weight
	}
	// Work of the same bucket counts as smaller by half. Requests of equal work are then all in
	// the middle.
	share := (float64(below) + float64(z.buckets[bucket])/2) / max(float64(total), 1)
	z.buckets[bucket]++
	z.count++
	switch {
	case z.count <= minSizeCount:
		return SizeMiddle
	case share >= largestFrom:
		return SizeLargest
	case share >= largeFrom:
		return SizeLarge
	case share >= middleFrom:
		return SizeMiddle
	default:
		return SizeSmallest
	}
}

// Classify returns the class of a request by the expected work of its first run, and learns from it.
// It is called once for each request.
func (e *Estimators) Classify(req *Request, expected *Expectation) Size {
	s := e.of(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizes.Classify(req.Route, req.Model, expected)
}
