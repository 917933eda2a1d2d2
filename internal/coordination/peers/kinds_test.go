package peers_test

import (
	"cmp"
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/peers"
	"medlarslip/internal/coordination/staging"
)

var kindsUses = flag.Int("kinds.uses", 0, "uses of new sessions in a second at each member of TestTrafficOfTheBusiestGrowsLinearly")

// kindNames names the parts of a datagram by their keys, and payloadNames those of its payload.
var (
	kindNames    = map[int]string{1: "description", 3: "echo", 4: "proof", 5: "request", 6: "request", 7: "roster", 8: "permit", 9: "size"}
	payloadNames = map[int]string{1: "offsets", 2: "prefill", 3: "counts", 6: "limits", 11: "sessions", 12: "accounts", 13: "learned"}
)

// kinds counts the bytes of datagrams by kind of content.
type kinds map[string]int

func (k kinds) add(t *testing.T, datagram []byte) {
	t.Helper()
	var parts, payload map[int]cbor.RawMessage
	must.NoError(t, cbor.Unmarshal(datagram, &parts))
	must.NoError(t, cbor.Unmarshal(parts[2], &payload))
	rest := len(datagram)
	count := func(names map[int]string, parts map[int]cbor.RawMessage) {
		for key, content := range parts {
			if name := names[key]; name != "" {
				k[name] += len(content)
				rest -= len(content)
			}
		}
	}
	count(kindNames, parts)
	count(payloadNames, payload)
	k["rest"] += rest
}

// kindsOfBusiest returns what the busiest member sends and receives in a second, by kind.
func (f *fleet) kindsOfBusiest() (sent, received kinds) {
	const seconds = 5
	f.network.mu.Lock()
	bySender, byReceiver := map[string]kinds{}, map[string]kinds{}
	f.network.observe = func(from, to string, datagram []byte) {
		for address, counts := range map[string]map[string]kinds{from: bySender, to: byReceiver} {
			if counts[address] == nil {
				counts[address] = kinds{}
			}
			counts[address].add(f.t, datagram)
		}
	}
	f.network.mu.Unlock()
	time.Sleep(seconds * time.Second)
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.observe = nil
	busiest := slices.MaxFunc(slices.Collect(maps.Keys(bySender)), func(a, b string) int {
		return cmp.Compare(bySender[a].sum()+byReceiver[a].sum(), bySender[b].sum()+byReceiver[b].sum())
	})
	for _, counts := range []kinds{bySender[busiest], byReceiver[busiest]} {
		for kind := range counts {
			counts[kind] /= seconds
		}
	}
	return bySender[busiest], byReceiver[busiest]
}

func (k kinds) sum() int {
	sum := 0
	for _, bytes := range k {
		sum += bytes
	}
	return sum
}

func (k kinds) String() string {
	var parts []string
	for _, kind := range slices.SortedFunc(maps.Keys(k), func(a, b string) int { return cmp.Compare(k[b], k[a]) }) {
		if k[kind] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", kind, k[kind]))
		}
	}
	return fmt.Sprintf("%d B/s (%s)", k.sum(), strings.Join(parts, ", "))
}

// TestTrafficOfTheBusiestGrowsLinearly guards against a kind of content of which the busiest member
// sends or receives more than in proportion to the size of the fleet. It logs all kinds. With uses of
// sessions it logs only: what leaders relay of these grows with the square of the size, see
// KNOWN-RED.txt.
func TestTrafficOfTheBusiestGrowsLinearly(t *testing.T) {
	const small, large, margin, negligible = 60, 300, 1.2, 1000
	measured := map[int][]kinds{}
	for _, size := range []int{small, large} {
		t.Run(fmt.Sprint(size), inFleet(size, func(f *fleet) {
			f.useSessions(*kindsUses)
			time.Sleep(3 * time.Second)
			sent, received := f.kindsOfBusiest()
			f.t.Logf("sent %v", sent)
			f.t.Logf("received %v", received)
			measured[size] = []kinds{sent, received}
		}))
	}
	if *kindsUses > 0 {
		return
	}
	for i, direction := range []string{"sent", "received"} {
		for kind, bytes := range measured[large][i] {
			allowed := margin * large / small * float64(max(measured[small][i][kind], negligible))
			must.LessEq(t, allowed, float64(bytes), must.Sprintf("%s: %s", direction, kind))
		}
	}
}

// useSessions has each member use new sessions, and exchange session reports with its peers.
func (f *fleet) useSessions(perSecond int) {
	if perSecond == 0 {
		return
	}
	for i, m := range f.members {
		c := staging.New(func() float64 { return 0.5 }, time.Now)
		m.staging.Store(c)
		c.SetTimes(func() time.Duration { return 8500 * time.Millisecond }, func() time.Duration { return 0 })
		next := uint64(i) << 32
		var use func()
		use = func() {
			c.Stage("summaries", next)
			next++
			time.AfterFunc(time.Second/time.Duration(perSecond), use)
		}
		use()
	}
	sessions := func(m *member) *staging.SessionReport {
		return m.staging.Load().Sessions(m.table.LeaderPosition() < peers.Leaders)
	}
	f.sessions.Store(&sessions)
}

// noteUses notes the sessions whose uses a report states.
func (m *member) noteUses(report *staging.SessionReport) {
	for _, groups := range [][]staging.SessionUses{report.Own, report.Relayed} {
		for i := range groups {
			for r := groups[i].Records; len(r) >= 9; r = r[9:] {
				m.uses.Store(binary.BigEndian.Uint64(r), true)
			}
		}
	}
}

// TestRelayedUsesReachAllMembers guards against uses of sessions that a leader no longer relays
// to a member which has not received them: datagrams are lost, a member is suspended, and the
// first leader ends.
func TestRelayedUsesReachAllMembers(t *testing.T) {
	t.Run("60", inFleet(60, func(f *fleet) {
		f.useSessions(1)
		time.Sleep(5 * time.Second)
		suspended, first := f.members[50], f.leaders()[0]
		f.network.suspend(suspended.self.PeerAddress, 400*time.Millisecond)
		time.Sleep(5 * time.Second)
		f.kill(first)
		time.Sleep(10 * time.Second)
		all := map[uint64]int{}
		for _, m := range f.members {
			m.uses.Range(func(session, _ any) bool {
				all[session.(uint64)]++
				return true
			})
		}
		incomplete := 0
		for session, members := range all {
			// Uses of the last 3 s are on their way, and the first leader's own are not relayed
			// to itself.
			if age := 20 - int(session&0xffffffff); age >= 3 && members < len(f.members)-1 {
				incomplete++
			}
		}
		f.t.Logf("%d uses, %d not known to all", len(all), incomplete)
		must.Zero(f.t, incomplete)
	}))
}
