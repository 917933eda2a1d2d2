package peers

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"medlarslip/internal/coordination/suspicion"
)

const (
	// maxWatched is the maximum number of instances that an instance watches. A pair of
	// instances exchanges at most eight probes of 13 bytes a second, so this stays below
	// 1 KB/s, sent and received.
	maxWatched = 8
	// maxStatementAge is the age from which suspicions of a peer are ignored, as where
	// this instance was suspended: well above the age of the echoed timestamps in a large
	// fleet, where one of them is lost.
	maxStatementAge = 3 * time.Second
)

// probe is a datagram by which instances watch each other. It has none of the fields of a
// datagram, so builds without it ignore it, and it changes nothing in the table.
type probe struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the hash of the sender's name.
	Sender uint64
	// WantsReply requests a probe in return.
	WantsReply bool
}

// probeDatagram encodes as a datagram with nothing but a probe.
type probeDatagram struct {
	Probe probe `cbor:"10,keyasint"`
}

// listedKey is what Options.Listed may depend on, and the run.
type listedKey struct {
	name, run, domain, address string
	weight                     int
	ready, leaving, cutOff     bool
}

// watching holds the instances that watch each other: those that the directory lists.
type watching struct {
	key   []listedKey
	names []string // sorted by rank
	runs  map[string]string
}

// updateWatching selects the instances that watch each other, from the running ones,
// sorted by rank.
func (t *Table) updateWatching(running []Instance) {
	if t.opts.Listed == nil {
		return
	}
	var key []listedKey
	watches := t.Large() && t.opts.Watches()
	if watches {
		key = make([]listedKey, len(running))
		for n := range running {
			i := &running[n]
			key[n] = listedKey{i.Name, i.Run, i.FailureDomain, i.Address, i.Weight, i.Ready, i.Leaving, i.CutOff}
		}
	}
	now := t.watching.Load()
	if !slices.Equal(key, now.key) {
		now = &watching{key: key, runs: map[string]string{}}
		if len(key) > 0 {
			listed := t.opts.Listed(running)
			now.names = namesOf(running, func(i *Instance) bool { return slices.Contains(listed, i.Name) })
			for i := range running {
				now.runs[running[i].Name] = running[i].Run
			}
		}
		t.watching.Store(now)
	}
	watched := map[string]string{}
	for _, name := range neighbours(now.names, t.opts.Name) {
		watched[name] = now.runs[name]
	}
	t.detector.Watch(watched, len(now.names))
	if t.usesSuspicions() {
		t.wakeWatch()
	}
}

// usesSuspicions reports whether suspicions have an effect at this instance: servers are chosen
// by expected cost, and the directory lists only some of the instances.
func (t *Table) usesSuspicions() bool { return len(t.watching.Load().names) > 0 }

// wakeWatch triggers a tick of the detector.
func (t *Table) wakeWatch() {
	select {
	case t.suspicionsArrived <- struct{}{}:
	default:
	}
}

// neighbours returns the names that the named instance watches: all others, or the nearest
// ones on a ring. The order by rank alternates between failure domains, so the loss of a
// domain leaves some that watch its instances.
func neighbours(names []string, name string) []string {
	at := slices.Index(names, name)
	if at < 0 {
		return nil
	}
	others := slices.Concat(names[at+1:], names[:at])
	if len(others) <= maxWatched {
		return others
	}
	return slices.Concat(others[:maxWatched/2], others[len(others)-maxWatched/2:])
}

// Suspected returns the names of the instances that are suspected of failure although they
// are running as far as Running knows. If fewer than two, or fewer than half, of the instances
// that watch each other would remain, it returns none: this instance may be the one
// that is cut off.
func (t *Table) Suspected() []string {
	names := t.watching.Load().names
	suspected := slices.DeleteFunc(t.detector.Suspected(), func(name string) bool { return !slices.Contains(names, name) })
	if remaining := len(names) - len(suspected); remaining < minRemaining || 2*remaining < len(names) {
		return nil
	}
	return suspected
}

// minRemaining is the number of instances besides the suspected ones that must remain.
const minRemaining = 2

// Suspicions returns how often this instance itself has begun to suspect another one.
func (t *Table) Suspicions() int64 { return t.detector.Begun() }

// heard records a datagram of a known instance. Other names are ignored, so that datagrams with
// forged names take no memory.
func (t *Table) heard(name string) {
	if t.usesSuspicions() && t.knows(name) {
		t.detector.Heard(name)
	}
}

func (t *Table) knows(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[name] != nil
}

// ofKnown returns the statements about known other instances. This instance runs, so it takes
// no statement about itself, and forged names take no memory.
func (t *Table) ofKnown(stated []suspicion.Statement) []suspicion.Statement {
	return slices.DeleteFunc(slices.Clone(stated), func(s suspicion.Statement) bool {
		return s.Instance == t.opts.Name || !t.knows(s.Instance)
	})
}

// mergeSuspicions merges the suspicions that a datagram states.
func (t *Table) mergeSuspicions(d *datagram) {
	report := d.Payload.Suspicions
	if report == nil || !t.usesSuspicions() || !t.knows(d.Instance.Name) {
		return
	}
	if d.Echo.Echoed == 0 || t.opts.Clock().Since(d.Echo.Echoed) >= maxStatementAge {
		return
	}
	known := suspicion.Report{Observed: t.ofKnown(report.Observed), Decided: t.ofKnown(report.Decided)}
	if t.detector.Merge(d.Instance.Name, &known) {
		t.wakeWatch()
	}
}

// watch runs the detector until ctx ends.
func (t *Table) watch(ctx context.Context, conn net.PacketConn) error {
	if t.opts.Listed == nil {
		return nil
	}
	for {
		var tick <-chan time.Time // nil while there is nothing to observe; rounds wake it then
		if t.usesSuspicions() && t.detector.Active() {
			tick = time.After(suspicion.Tick)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-t.suspicionsArrived:
		}
		if !t.usesSuspicions() {
			continue
		}
		round := t.detector.Tick(t.Leads())
		for _, name := range round.Requests {
			t.sendProbe(conn, t.peerAddress(name), true)
		}
		if round.Announce {
			t.AnnounceUrgent()
		}
		for _, change := range round.Changes {
			t.opts.OnSuspicion(change)
		}
	}
}

// handleProbe notes a probe and replies to it, also where this instance itself uses no
// suspicions: without a reply, a live instance would be suspected by those that do.
func (t *Table) handleProbe(conn net.PacketConn, p *probe) {
	name, address := t.byHash(p.Sender)
	if name == "" {
		return
	}
	if t.usesSuspicions() {
		t.detector.HeardProbe(name)
	}
	if p.WantsReply {
		t.sendProbe(conn, address, false)
	}
}

// byHash returns the name and the address of the peer whose name has a hash; empty if there
// is none.
func (t *Table) byHash(hash uint64) (name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if xxhash.Sum64String(name) == hash {
			return name, p.instance.PeerAddress
		}
	}
	return "", ""
}

func (t *Table) sendProbe(conn net.PacketConn, to string, wantsReply bool) {
	content, err := cbor.Marshal(&probeDatagram{Probe: probe{Sender: xxhash.Sum64String(t.opts.Name), WantsReply: wantsReply}})
	if err != nil || to == "" {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return
	}
	// A failed send is equivalent to a lost datagram.
	_, _ = conn.WriteTo(content, address)
}
