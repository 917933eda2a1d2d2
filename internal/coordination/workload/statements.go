package workload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/state/decay"
)

// Report is what an instance tells another one of what was learned. Each statement covers all
// observations that it is about, so a later one replaces it.
type Report struct {
	// Fleet is true if the statements are sums over the fleet, and false if they cover what the
	// sender observed itself.
	Fleet bool `cbor:"1,keyasint,omitempty"`
	// Speeds holds statements about servers, and Lengths about answers, of recordSize bytes.
	Speeds  []byte `cbor:"2,keyasint,omitempty"`
	Lengths []byte `cbor:"3,keyasint,omitempty"`
	// ByCostAge is the time in seconds, rounded up, since an instance is known to have chosen servers
	// by expected cost on its own account. It is 0 if the sender does, and in reports of the previous
	// build, which sends them only then.
	ByCostAge int `cbor:"4,keyasint,omitempty"`
}

const (
	// recordSize is the size of a statement: the key and three values.
	recordSize = 10
	// meanUnit, weightUnit and varianceUnit are the steps in which statements are sent. A
	// weight of up to 2,047 observations fits; servers of 24 slots collect some 600 in a half-life.
	meanUnit, weightUnit, varianceUnit = 1.0 / 2048, 1.0 / 32, 1.0 / 2048
	// minStatedWeight is the weight from which something is stated.
	minStatedWeight = 0.25
	// refreshTime is the time after which a statement without new observations is as valuable
	// as one with as many new observations as its weight: receivers start, and datagrams are lost.
	refreshTime = 10 * time.Second
)

// record is one statement.
type record struct {
	key uint32
	// tag is the run of the server's process, or the variance of a length.
	tag uint16
	// mean is the mean natural logarithm, and weight the number of observations.
	mean   int16
	weight uint16
}

func quantize(value, unit, low, high float64) float64 {
	return min(max(math.Round(value/unit), low), high)
}

func newRecord(key uint32, tag uint16, m decay.Moments) record {
	return record{
		key: key, tag: tag, mean: int16(quantize(m.Sum/m.Weight, meanUnit, math.MinInt16, math.MaxInt16)),
		weight: uint16(quantize(m.Weight, weightUnit, 0, math.MaxUint16)),
	}
}

// varianceTag returns the variance of the values as a tag.
func varianceTag(m decay.Moments) uint16 {
	mean := m.Sum / m.Weight
	return uint16(quantize(m.Squares/m.Weight-mean*mean, varianceUnit, 0, math.MaxUint16))
}

// moments returns what the record states, with the given variance.
func (r record) moments(at time.Time, variance float64) decay.Moments {
	weight, mean := float64(r.weight)*weightUnit, float64(r.mean)*meanUnit
	return decay.MomentsAt(at, weight, weight*mean, weight*(variance+mean*mean))
}

func (r record) append(to []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, r.key)
	to = binary.BigEndian.AppendUint16(to, r.tag)
	to = binary.BigEndian.AppendUint16(to, uint16(r.mean))
	return binary.BigEndian.AppendUint16(to, r.weight)
}

// statements returns the number of statements of a report.
func statements(content []byte) uint64 { return uint64(len(content) / recordSize) }

// records returns the statements of a report.
func records(content []byte) []record {
	all := make([]record, 0, len(content)/recordSize)
	for ; len(content) >= recordSize; content = content[recordSize:] {
		all = append(all, record{
			key: binary.BigEndian.Uint32(content), tag: binary.BigEndian.Uint16(content[4:]),
			mean: int16(binary.BigEndian.Uint16(content[6:])), weight: binary.BigEndian.Uint16(content[8:]),
		})
	}
	return all
}

// valueOf returns how valuable it is to send moments to others that were sent the given ones
// before: the observations since, relative to those known there.
func valueOf(m decay.Moments, sent decay.Sent, now time.Time, halfLife time.Duration) float64 {
	if m.Weight < minStatedWeight {
		return 0
	}
	if sent.At.IsZero() {
		return 2 * m.Weight
	}
	known := sent.Moments.At(now, halfLife).Weight
	age := min(float64(now.Sub(sent.At))/float64(refreshTime), 1)
	return (max(m.Weight-known, 0) + age*m.Weight) / (1 + known)
}

// lengthID identifies answers of similar length in the statements of instances.
func lengthID(service string, key lengthKey) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + key.route + "\x00" + key.model))
}

// updateLength calls update with the statements about lengths of the given ID, and with the
// moments that this instance observed. Beyond the bound of IDs it does nothing.
func (e *Estimators) updateLength(id uint32, own decay.Moments, update func(s *decay.Statements, own decay.Moments)) {
	e.stated.mu.Lock()
	defer e.stated.mu.Unlock()
	if e.stated.lengths == nil {
		e.stated.lengths = map[uint32]*decay.Statements{}
	}
	if found := lookup(e.stated.lengths, id); found != nil {
		update(found, own)
	}
}

// statedLength returns what other instances state about lengths.
func (e *Estimators) statedLength(service string, key lengthKey, now time.Time) decay.Moments {
	e.stated.mu.Lock()
	defer e.stated.mu.Unlock()
	if len(e.stated.lengths) == 0 {
		return decay.Moments{}
	}
	if found := e.stated.lengths[lengthID(service, key)]; found != nil {
		return found.Total(now, lengthHalfLife)
	}
	return decay.Moments{}
}

// ownLengths returns the moments of the lengths that this instance observed, by ID.
func (e *Estimators) ownLengths() map[uint32]decay.Moments {
	all := map[uint32]decay.Moments{}
	e.byService.Range(func(name, value any) bool {
		s := value.(*service)
		s.mu.Lock()
		defer s.mu.Unlock()
		for key, l := range s.lengths {
			all[lengthID(name.(string), key)] = l.own
		}
		return true
	})
	return all
}

// statedLengths returns the IDs of all lengths that this instance or others observed.
func (e *Estimators) statedLengths(own map[uint32]decay.Moments) []uint32 {
	e.stated.mu.Lock()
	defer e.stated.mu.Unlock()
	ids := make([]uint32, 0, len(own))
	for id := range own {
		ids = append(ids, id)
	}
	for id := range e.stated.lengths {
		if _, ok := own[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}
