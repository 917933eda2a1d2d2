package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
)

const fleetNodes = 4

// machine runs a small fleet against a log service under every mishap that
// the property allows, one action at a time.
type machine struct {
	service  *logservice.Service
	network  *network
	expected history
	names    []string
	runs     int
	marks    int64
	down     bool
	// published holds every document that was signed, also the losing ones.
	published []*signed.Envelope
}

func newMachine() *machine {
	m := &machine{service: logservice.New(0), network: &network{nodes: map[string]*node{}}}
	for i := range fleetNodes {
		m.names = append(m.names, fmt.Sprint("entry-", i))
	}
	for _, name := range m.names {
		m.restart(name)
	}
	return m
}

func (m *machine) restart(name string) {
	m.runs++
	others := []string{}
	for _, other := range m.names {
		if other != name {
			others = append(others, other)
		}
	}
	started := m.network.start(name, m.runs, m.service, others)
	started.acceptedAtStart = int64(len(m.expected.accepted))
}

func (m *machine) node(t *rapid.T) *node {
	return m.network.nodes[rapid.SampledFrom(m.names).Draw(t, "node")]
}

// append appends raw records as a writer would whose service may fail.
func (m *machine) append(t *rapid.T, raw ...json.RawMessage) {
	if m.down {
		return
	}
	fault := rapid.SampledFrom([]logservice.Fault{
		logservice.FaultNone, logservice.FaultNone, logservice.FaultDuplicate, logservice.FaultLoseAnswer, logservice.FaultLoseRequest,
	}).Draw(t, "append fault")
	m.service.OnAppend(func(string, []json.RawMessage) logservice.Fault { return fault })
	_, _ = m.service.Append(context.Background(), platform.StreamConfiguration, raw)
	m.service.OnAppend(nil)
	m.expected.read(t, m.service)
}

// actions returns everything that may happen.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish":         m.publish,
		"publish raced":   m.publishRaced,
		"build on loser":  m.publishOnAnySigned,
		"forge":           m.forge,
		"read":            func(t *rapid.T) { m.readPage(m.node(t)) },
		"read on":         func(t *rapid.T) { m.catchUp(m.node(t)) },
		"restart":         func(t *rapid.T) { m.restart(m.node(t).name) },
		"pull":            func(t *rapid.T) { m.node(t).spread.Pull(context.Background()) },
		"stale peer":      m.stalePeer,
		"hold snapshot":   func(t *rapid.T) { _ = m.node(t).snapshots.Append(context.Background()) },
		"append snapshot": m.appendBuffered,
		"trim":            m.trim,
		"outage": func(*rapid.T) {
			m.down = !m.down
			m.service.SetOutage(m.down)
		},
		"cut peers": func(*rapid.T) { m.network.cut = !m.network.cut },
		"talk":      func(t *rapid.T) { m.exchangeSeveral(m.node(t)) },
		"mend":      func(*rapid.T) { m.endOutages() },
		"":          m.check,
	}
}

// readPage reads one page; an outage makes it fail.
func (m *machine) readPage(n *node) { _ = n.follower.Step(context.Background(), 0) }

// catchUp reads as often as it takes to find a snapshot and go on from it.
func (m *machine) catchUp(n *node) {
	for range m.expected.offset + 2 {
		m.readPage(n)
	}
}

// exchangeSeveral exchanges with a few peers, one after another so that each run of the
// test is the same.
func (m *machine) exchangeSeveral(n *node) {
	for range 2 * fleetNodes {
		n.spread.Pull(context.Background())
	}
}

// endOutages ends the outage of the log and that between peers.
func (m *machine) endOutages() {
	m.service.SetOutage(false)
	m.network.cut, m.down = false, false
}

// publish makes a change from what some instance has in force, which may be
// out of date.
func (m *machine) publish(t *rapid.T) {
	m.publishFrom(t, m.node(t))
}

// publishRaced makes two different changes from the same document.
func (m *machine) publishRaced(t *rapid.T) {
	from := m.node(t)
	m.publishFrom(t, from)
	m.publishFrom(t, from)
}

// publishOnAnySigned makes a change from any document that was ever signed, also
// from one that was rejected.
func (m *machine) publishOnAnySigned(t *rapid.T) {
	if len(m.published) > 0 {
		m.publishOn(t, rapid.SampledFrom(m.published).Draw(t, "base"))
	}
}

func (m *machine) publishFrom(t *rapid.T, from *node) {
	var base *signed.Envelope
	if current := from.store.Current(); current != nil {
		base = &current.Envelope
	}
	m.publishOn(t, base)
}

func (m *machine) publishOn(t *rapid.T, base *signed.Envelope) {
	m.marks++
	envelope := seal(t, rapid.SampledFrom([]string{"anna", "ben"}).Draw(t, "operator"), base, m.marks)
	m.published = append(m.published, envelope)
	m.append(t, rawRecord(t, records.Configuration{Envelope: *envelope}))
}

// forge puts a document of the next number before the instances that no
// operator signed, on the log or from a peer.
func (m *machine) forge(t *rapid.T) {
	m.marks++
	forged := seal(t, "mallory", m.expected.last(), m.marks)
	if rapid.Bool().Draw(t, "in a known name") {
		forged.Operator = "anna"
	}
	if rapid.Bool().Draw(t, "on the log") {
		snapshot := rapid.Bool().Draw(t, "as a snapshot")
		m.append(t, rawRecord(t, records.Configuration{Envelope: *forged, Snapshot: snapshot, AsOf: m.expected.offset}), json.RawMessage(`"garbage"`))
		return
	}
	m.node(t).spread.Answer(&configuration.Exchange{Digest: configuration.Digest{Number: forged.Number, Hash: forged.Hash(), AsOf: -1}, Envelope: forged})
}

// stalePeer repeats something that a peer once said.
func (m *machine) stalePeer(t *rapid.T) {
	if len(m.network.documents) > 0 {
		m.node(t).spread.Answer(copyOf(rapid.SampledFrom(m.network.documents).Draw(t, "message")))
	}
}

// appendBuffered lets a paused snapshot writer go on.
func (m *machine) appendBuffered(t *rapid.T) {
	n := m.node(t)
	if len(n.buffered.appends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.buffered.appends)-1).Draw(t, "held")
	m.append(t, n.buffered.appends[i])
}

func (m *machine) trim(t *rapid.T) {
	below := rapid.Int64Range(0, m.expected.offset).Draw(t, "below")
	m.service.Trim(platform.StreamConfiguration, below)
}

// check compares every instance with the independent reading of the log.
func (m *machine) check(t *rapid.T) {
	for _, n := range m.network.nodes {
		m.checkInForce(t, n)
		digest := n.store.Digest()
		if asOf, known := n.store.AsOf(); known && digest.AsOf >= 0 {
			must.Eq(t, m.expected.countBelow(asOf), digest.Number, must.Sprint(n.name, " as of ", asOf))
		}
	}
}

func (m *machine) checkInForce(t *rapid.T, n *node) {
	current := n.store.Current()
	if current == nil {
		must.Zero(t, n.number, must.Sprint(n.name, " lost its document"))
		return
	}
	number := current.Envelope.Number
	if current.Source == configuration.SourceLog {
		must.GreaterEq(t, n.acceptedAtStart, number, must.Sprint(n.name, " took up a replaced document at its start"))
	}
	must.GreaterEq(t, n.number, number, must.Sprint(n.name, " went back"))
	n.number = number
	must.LessEq(t, int64(len(m.expected.accepted)), number, must.Sprint(n.name, " is ahead of the log"))
	must.Eq(t, m.expected.accepted[number-1].Hash(), current.Hash, must.Sprint(n.name, " is split from the log"))
}

// settle ends all mishaps and lets everybody read and talk.
func (m *machine) settle(t *rapid.T) {
	m.endOutages()
	for range fleetNodes {
		for _, name := range m.names {
			n := m.network.nodes[name]
			m.catchUp(n)
			m.exchangeSeveral(n)
		}
	}
}

// TestNoInterleavingRevertsOrSplitsTheConfiguration checks after every action
// that each instance has in force what the log accepted under that number,
// that no number falls, that no replaced document comes in force at a restart,
// and that a decided position is that of the log. Once
// the mishaps end all agree, and on the newest document if any of them knows
// what the log decided.
func TestNoInterleavingRevertsOrSplitsTheConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(m.actions())
		m.settle(t)
		m.check(t)
		first := m.network.nodes[m.names[0]].store.Digest()
		for _, name := range m.names {
			digest := m.network.nodes[name].store.Digest()
			must.Eq(t, first.Hash, digest.Hash)
			if digest.AsOf >= 0 {
				must.Eq(t, int64(len(m.expected.accepted)), digest.Number)
			}
		}
	})
}

// TestLateStarterLoadsTheSameDocument lets retention remove ever more of the
// log while snapshots are repeated, with old ones of paused writers between
// them, and starts an instance without peers at every point.
func TestLateStarterLoadsTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		writer := m.network.nodes[m.names[0]]
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				m.publishRaced(t)
				m.readPage(writer)
			}
			m.readPage(writer)
			_ = writer.snapshots.Append(context.Background())
			if len(writer.buffered.appends) == 0 {
				continue
			}
			newest := len(writer.buffered.appends) - 1
			late := rapid.IntRange(0, newest).Draw(t, "late")
			for _, i := range []int{newest, late} {
				_, _ = m.service.Append(context.Background(), platform.StreamConfiguration, []json.RawMessage{writer.buffered.appends[i]})
			}
			var kept records.Configuration
			must.NoError(t, json.Unmarshal(writer.buffered.appends[newest], &kept))
			m.expected.read(t, m.service)
			m.service.Trim(platform.StreamConfiguration, rapid.Int64Range(0, kept.AsOf).Draw(t, "below"))
			publisher := configuration.Publisher{Log: m.service, Keys: keysOf("anna", "ben")}
			loaded, err := publisher.Load(context.Background())
			must.NoError(t, err)
			if m.expected.last() != nil {
				must.Eq(t, m.expected.last().Hash(), loaded.Hash)
			}
		}
	})
}
