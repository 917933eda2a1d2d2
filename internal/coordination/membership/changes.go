package membership

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/state/backends"
)

// serverState is the gossip value about a backend server.
type serverState struct {
	_           struct{} `cbor:",toarray"`
	Leaving     bool
	Incarnation string
}

func encodeState(server *backends.Server) []byte {
	raw, err := cbor.Marshal(serverState{Leaving: server.Leaving, Incarnation: server.Incarnation})
	if err != nil {
		panic(err) // the type always encodes
	}
	return raw
}

// publishChanges propagates the changes between two reads of the list to the other
// instances, whose lists may be older.
func (m *Members) publishChanges(old, now []backends.Server) {
	before := make(map[string]*backends.Server, len(old))
	for i := range old {
		before[old[i].ID] = &old[i]
	}
	for i := range now {
		m.publishChange(before[now[i].ID], &now[i])
	}
}

// publishChange propagates one change of a backend server. It does nothing if a
// different change has been propagated since, because this list is then stale.
func (m *Members) publishChange(old, now *backends.Server) {
	value := encodeState(now)
	known, _, ok := m.config.Gossip.Get(gossip.KindServer, now.ID)
	switch {
	case ok && bytes.Equal(known.Value, value):
		return
	case old == nil && (ok || !now.Leaving):
		return
	case old != nil && bytes.Equal(encodeState(old), value):
		return
	case old != nil && ok && !bytes.Equal(known.Value, encodeState(old)):
		return
	}
	m.config.Gossip.Publish(gossip.KindServer, now.ID, value, 0, true)
}

// correct applies a recent observation of another instance to a row of the list:
// that the backend server is leaving, or that it runs with another incarnation.
func (m *Members) correct(server *backends.Server) {
	entry, observed, ok := m.config.Gossip.Get(gossip.KindServer, server.ID)
	var state serverState
	if !ok || time.Since(observed) > correctionLifetime || cbor.Unmarshal(entry.Value, &state) != nil {
		return
	}
	if state.Incarnation != server.Incarnation {
		server.Incarnation, server.Leaving = state.Incarnation, state.Leaving
		return
	}
	server.Leaving = server.Leaving || state.Leaving
}
