package gossip

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of an entry.
type Kind uint8

const (
	// KindMember entries hold a Member under its instance ID.
	KindMember Kind = 1
	// KindLoad entries hold the load of a group of backend servers.
	KindLoad Kind = 2
	// KindWarmth entries hold whether a backend server is warm.
	KindWarmth Kind = 3
	// KindServer entries hold the incarnation of a backend server in the instance
	// list and whether it is leaving.
	KindServer Kind = 4
	// KindOutcomes entries hold the outcomes that an instance counted for rollouts,
	// and the halts of rollouts that it is aware of.
	KindOutcomes Kind = 5
	// KindAcceptances entries hold the observations of an instance about cascades.
	KindAcceptances Kind = 6
)

// Entry is one register of the replicated state. Of two entries with the same kind
// and key, the one with the higher version wins; if the versions are equal, the one
// whose value is greater in byte order. The result does therefore not depend on the
// order in which entries arrive (a last-writer-wins register, see Shapiro et al.,
// 2011).
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     string
	Version uint64
	Value   []byte
	// AgeMillis is the time since the value was observed, in milliseconds, measured
	// by the sender of the entry.
	AgeMillis uint32
}

// supersedes reports whether e replaces old.
func (e *Entry) supersedes(old *Entry) bool {
	if e.Version != old.Version {
		return e.Version > old.Version
	}
	return bytes.Compare(e.Value, old.Value) > 0
}

// State is the state of a member.
type State uint8

// States of a member. At the same incarnation a higher state supersedes a lower one.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
	StateLeft
	stateCount
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	default:
		return "left"
	}
}

// Member is one entry instance.
type Member struct {
	ID string
	// ControlAddress is the address to which peers connect.
	ControlAddress string
	// CallerAddress is the address to which callers connect.
	CallerAddress string
	FailureDomain string
	State         State
	// Incarnation is increased only by the member itself, to refute the claims of
	// others about it.
	Incarnation uint64
}

// memberValue is the value of a member's entry.
type memberValue struct {
	_             struct{} `cbor:",toarray"`
	Control       string
	Callers       string
	FailureDomain string
}

// version orders claims about a member as SWIM does (Das, Gupta, Motivala, 2002): by
// incarnation, then by state.
func (m *Member) version() uint64 { return m.Incarnation*uint64(stateCount) + uint64(m.State) }

func (m *Member) entry() (Entry, error) {
	value, err := cbor.Marshal(memberValue{Control: m.ControlAddress, Callers: m.CallerAddress, FailureDomain: m.FailureDomain})
	return Entry{Kind: KindMember, Key: m.ID, Version: m.version(), Value: value}, err
}

func memberOf(e *Entry) (Member, error) {
	var value memberValue
	if err := cbor.Unmarshal(e.Value, &value); err != nil {
		return Member{}, err
	}
	return Member{
		ID:             e.Key,
		ControlAddress: value.Control,
		CallerAddress:  value.Callers,
		FailureDomain:  value.FailureDomain,
		State:          State(e.Version % uint64(stateCount)),
		Incarnation:    e.Version / uint64(stateCount),
	}, nil
}

// age returns the age in milliseconds of a value that was observed at the given time.
func age(observed, now time.Time) uint32 {
	const maxAge = 1 << 31 // milliseconds
	return uint32(min(max(now.Sub(observed).Milliseconds(), 0), maxAge))
}
