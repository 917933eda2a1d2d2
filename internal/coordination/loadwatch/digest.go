package loadwatch

import (
	"encoding/binary"
	"math"
	"time"

	"medlarslip/internal/state/backends"
)

// digest is the load of one server as published by gossip.
type digest struct {
	// Server is the hash of the server's ID.
	Server uint32
	// Started identifies the incarnation of the server.
	Started uint16
	// Running and Waiting are request counts, at most 65535.
	Running, Waiting uint16
	// CachePercent is the share of the KV cache in use.
	CachePercent uint8
}

const (
	percent = 100
	// digestBytes is the size of an encoded digest in bytes.
	digestBytes = 11
)

func digestOf(id string, load *backends.Load) digest {
	return digest{
		Server:  serverHash(id),
		Started: load.Started,
		Running: saturate(load.Running), Waiting: saturate(load.Waiting),
		CachePercent: uint8(load.CacheUse * percent),
	}
}

func saturate(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }

func (d *digest) load(observed time.Time) backends.Load {
	return backends.Load{
		Running: int(d.Running), Waiting: int(d.Waiting), CacheUse: float64(d.CachePercent) / percent,
		Started: d.Started, ReadAt: observed,
	}
}

// encode encodes digests field by field in big-endian order.
func encode(digests []digest) []byte {
	raw := make([]byte, 0, len(digests)*digestBytes)
	for _, d := range digests {
		raw = binary.BigEndian.AppendUint32(raw, d.Server)
		raw = binary.BigEndian.AppendUint16(raw, d.Started)
		raw = binary.BigEndian.AppendUint16(raw, d.Running)
		raw = binary.BigEndian.AppendUint16(raw, d.Waiting)
		raw = append(raw, d.CachePercent)
	}
	return raw
}

// decode decodes the output of encode. It returns nil for input of any other
// length.
func decode(raw []byte) []digest {
	if len(raw)%digestBytes != 0 {
		return nil
	}
	digests := make([]digest, 0, len(raw)/digestBytes)
	for ; len(raw) > 0; raw = raw[digestBytes:] {
		digests = append(digests, digest{
			Server:       binary.BigEndian.Uint32(raw),
			Started:      binary.BigEndian.Uint16(raw[4:]),
			Running:      binary.BigEndian.Uint16(raw[6:]),
			Waiting:      binary.BigEndian.Uint16(raw[8:]),
			CachePercent: min(raw[10], percent),
		})
	}
	return digests
}

// changed reports whether the load differs enough to be published: a count
// changed by at least 2 and a quarter, or the servers or their incarnations
// differ.
func changed(old, digests []digest) bool {
	if len(old) != len(digests) {
		return true
	}
	for i, d := range digests {
		o := old[i]
		if o.Server != d.Server || o.Started != d.Started || differs(o.Running, d.Running) || differs(o.Waiting, d.Waiting) {
			return true
		}
	}
	return false
}

func differs(old, count uint16) bool {
	const share, least = 4, 2
	difference := int(max(old, count) - min(old, count))
	return difference >= least && difference*share >= int(old)
}
