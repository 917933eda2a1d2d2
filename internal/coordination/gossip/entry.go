package gossip

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind says what an entry is about.
type Kind uint8

const (
	// KindMember entries hold a Member under its instance ID.
	KindMember Kind = 1
	// KindLoad entries hold the load of a group of backend servers.
	KindLoad Kind = 2
	// KindWarmth entries hold whether a backend server is warm.
	KindWarmth Kind = 3
	// KindServer entries hold which run of a backend server the instance list
	// shows and whether it leaves.
	KindServer Kind = 4
	// KindOutcomes entries hold what an instance counted of roll-outs, and the
	// halts that it knows.
	KindOutcomes Kind = 5
	// KindAcceptances entries hold what an instance learned of cascades.
	KindAcceptances Kind = 6
)

// Entry is one register of the spread state. Of two entries with the same
// kind and key the one with the higher version stays; of two with the same
// version, the one whose value is greater in byte order. So the order in
// which entries arrive has no influence (a last-writer-wins register, see
// Shapiro et al., 2011).
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     string
	Version uint64
	Value   []byte
	// AgeMillis is the time since the value was observed, in milliseconds, on
	// the clock of whoever sends the entry.
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

// States of a member. At the same incarnation the higher one supersedes.
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
	// ControlAddress is the address that peers connect to.
	ControlAddress string
	// CallerAddress is the address that callers connect to.
	CallerAddress string
	FailureDomain string
	State         State
	// Incarnation is raised by the member itself to refute what others say.
	Incarnation uint64
}

// memberValue is the part of a Member that its entry holds as value.
type memberValue struct {
	_             struct{} `cbor:",toarray"`
	Control       string
	Callers       string
	FailureDomain string
}

// version orders what is said of a member as SWIM does: a higher incarnation
// first, then the state (Das, Gupta, Motivala, 2002).
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

// age returns the age of an entry that was observed at the given time.
func age(observed, now time.Time) uint32 {
	const maxAge = 1 << 31 // milliseconds
	return uint32(min(max(now.Sub(observed).Milliseconds(), 0), maxAge))
}
