package membership

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/state/backends"
)

// serverState is the spread value about a backend server.
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

// publishChanges tells the other instances, whose lists may be older, what has
// changed from one read of the list to the next.
func (m *Members) publishChanges(old, now []backends.Server) {
	before := make(map[string]*backends.Server, len(old))
	for i := range old {
		before[old[i].ID] = &old[i]
	}
	for i := range now {
		m.publishChange(before[now[i].ID], &now[i])
	}
}

// publishChange spreads one change. Where another change was spread since, this
// list lags behind it and says nothing.
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

// correct applies what other instances saw of late to a row of the list: a
// server that leaves, or a later run of it.
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
