package claims

import (
	"encoding/hex"
	"math"
	"strings"
	"sync/atomic"
	"time"
	"unique"

	"github.com/rs/xid"

	"medlarslip/internal/protocol/records"
)

const (
	// keyBytes is the memory of a key besides its text: its part of a chunk, and its slots, of which at least 0.375
	// are taken.
	keyBytes = 97 + 11
	// detailBytes is the memory of details; those of an answer are part of answerOverhead.
	detailBytes = 48
	// textUnit is the largest difference of two sizes that the allocator rounds texts of up to 256 bytes to.
	textUnit  = 16
	uuidBytes = 16
	// releasedSeparator separates the released claims of a free key.
	releasedSeparator = "\n"
)

// packedID identifies a key. The name of the account is held once in the process.
type packedID struct {
	account unique.Handle[string]
	// text is the key, the 16 bytes of a UUID, or a rawMark and the key where that has 16 bytes or more, so that no
	// two keys have the same text.
	text string
}

const rawMark = "r"

func (id keyID) pack() packedID {
	return packedID{account: unique.Make(id.account), text: packText(id.key)}
}

func (id packedID) unpack() keyID {
	return keyID{account: id.account.Value(), key: unpackText(id.text)}
}

// packText returns a UUID in the form of RFC 9562 with lower-case letters as its bytes.
func packText(key string) string {
	if len(key) < uuidBytes {
		return key
	}
	if raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", "")); err == nil && len(raw) == uuidBytes && unpackText(string(raw)) == key {
		return string(raw)
	}
	return rawMark + key
}

func unpackText(text string) string {
	if len(text) < uuidBytes {
		return text
	}
	if len(text) > uuidBytes {
		return text[len(rawMark):]
	}
	digits := hex.EncodeToString([]byte(text))
	return digits[:8] + "-" + digits[8:12] + "-" + digits[12:16] + "-" + digits[16:20] + "-" + digits[20:]
}

// packedEntry is an entry as it is held. TestMemoryOfKeys checks its size.
type packedEntry struct {
	packedID
	// position is the fence of a free key, and the offset of any other one, whose fence has no effect.
	position int64
	// readAt is relative to the start of the shard, by the monotonic clock. Of a free key with details it is the
	// offset freed.
	readAt      time.Duration
	details     *details
	fingerprint [32]byte
	claimID     xid.ID
	// ageAndPhase holds the phase in its lowest bits and the age in seconds above them.
	ageAndPhase uint32
}

const (
	phaseBits     = 2
	phaseMask     = 1<<phaseBits - 1
	maxAgeSeconds = math.MaxUint32 >> phaseBits
)

func (p *packedEntry) phase() phase { return phase(p.ageAndPhase & phaseMask) }

// details holds what only some keys have.
type details struct {
	answer *records.KeptAnswer
	// claimID and fingerprint are texts that do not have the form which this program gives them; the flags say so,
	// since such a text may be empty. Of a free key, claimID holds the released claims.
	claimID, fingerprint           string
	otherClaimID, otherFingerprint bool
}

// pack returns an entry in the form in which it is held.
func (e *entry) pack(id packedID, start time.Time) packedEntry {
	p := packedEntry{packedID: id, position: e.offset, readAt: e.readAt.Sub(start)}
	if e.phase == phaseFree {
		p.position = e.fence
		if len(e.released) > 0 {
			p.readAt = time.Duration(e.freed)
			p.details = &details{claimID: strings.Join(e.released, releasedSeparator), otherClaimID: true}
		}
		return p
	}
	age := max(0, min(e.ageAtRead/time.Second, maxAgeSeconds))
	p.ageAndPhase = uint32(age)<<phaseBits | uint32(e.phase)
	d := details{answer: e.answer}
	if claimID, err := xid.FromString(e.claimID); err == nil && claimID.String() == e.claimID {
		p.claimID = claimID
	} else {
		d.claimID, d.otherClaimID = e.claimID, true
	}
	raw, err := hex.DecodeString(e.fingerprint)
	if err == nil && len(raw) == len(p.fingerprint) && hex.EncodeToString(raw) == e.fingerprint {
		p.fingerprint = [32]byte(raw)
	} else {
		d.fingerprint, d.otherFingerprint = e.fingerprint, true
	}
	if d != (details{}) {
		p.details = &d
	}
	return p
}

// unpack returns the entry; a nil p returns that of a key that was never claimed.
func (p *packedEntry) unpack(start time.Time) entry {
	if p == nil {
		return entry{}
	}
	if p.phase() == phaseFree {
		e := entry{keyState: keyState{fence: p.position, freed: p.position}}
		if p.details != nil {
			e.freed, e.released = int64(p.readAt), strings.Split(p.details.claimID, releasedSeparator)
		}
		return e
	}
	e := entry{readAt: start.Add(p.readAt), ageAtRead: time.Duration(p.ageAndPhase>>phaseBits) * time.Second}
	e.phase, e.offset = p.phase(), p.position
	e.claimID, e.fingerprint = p.claimID.String(), hex.EncodeToString(p.fingerprint[:])
	if d := p.details; d != nil {
		e.answer = d.answer
		if d.otherClaimID {
			e.claimID = d.claimID
		}
		if d.otherFingerprint {
			e.fingerprint = d.fingerprint
		}
	}
	return e
}

// bytes returns the memory of an entry without its answer.
func (p *packedEntry) bytes() int64 {
	if p == nil {
		return 0
	}
	size := keyBytes + roundUp(len(p.text))
	if p.details != nil && (p.details.otherClaimID || p.details.otherFingerprint) {
		size += detailBytes + roundUp(len(p.details.claimID)) + roundUp(len(p.details.fingerprint))
	}
	return int64(size)
}

func roundUp(size int) int { return (size + textUnit - 1) / textUnit * textUnit }

// keyMemory counts the memory of keys without their answers. It is safe for concurrent use.
type keyMemory struct {
	// limit is the size at which new keys are refused; 0 sets none.
	limit int64
	used  atomic.Int64
}

func (m *keyMemory) full() bool { return m.limit > 0 && m.used.Load() >= m.limit }

// LimitKeys bounds the memory of keys without their answers, beside their number; 0 sets no bound. It must be called
// before the first request.
func (c *Coordinator) LimitKeys(bytes int64) { c.keys.limit = bytes }
