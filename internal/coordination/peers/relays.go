package peers

import (
	"net"

	"medlarslip/internal/boottime"
)

// maxSentRelays is the number of replies to a peer of which this instance remembers what they
// relayed: those of the time for which a use is relayed, with some requests that were repeated.
const maxSentRelays = 4

// relays states what a leader has relayed to a run of a peer. Each reply has all uses after the
// latest one that the peer is known to have received, so the timestamp of a reply which the peer
// echoes acknowledges also what was relayed before.
type relays struct {
	acknowledged uint64
	sent         [maxSentRelays]sentRelay
	next         int
}

// sentRelay is a reply with relayed uses up to a number.
type sentRelay struct {
	at   boottime.Instant
	last uint64
}

// acknowledge notes that the peer has received the datagram that was sent at a time.
func (r *relays) acknowledge(echoed boottime.Instant) {
	for _, sent := range r.sent {
		if sent.at == echoed && sent.at != 0 {
			r.acknowledged = max(r.acknowledged, sent.last)
		}
	}
}

// sendReply sends a reply, in a large fleet without the relayed uses of sessions that its
// receiver has received before.
func (t *Table) sendReply(conn net.PacketConn, content datagram, to *target) {
	report := content.Payload.Sessions
	if t.opts.Relayed == nil || !t.Large() || report == nil || len(report.Relayed) == 0 {
		t.sendTo(conn, content, to)
		return
	}
	var acknowledged, last uint64
	t.withRelays(to.name, func(r *relays) { acknowledged = r.acknowledged })
	trimmed := *report
	trimmed.Relayed, last = t.opts.Relayed(acknowledged)
	content.Payload.Sessions = &trimmed
	sentAt := t.sendTo(conn, content, to)
	t.withRelays(to.name, func(r *relays) {
		r.sent[r.next] = sentRelay{at: sentAt, last: last}
		r.next = (r.next + 1) % maxSentRelays
	})
}

func (t *Table) withRelays(name string, do func(r *relays)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		do(&p.relays)
	}
}
