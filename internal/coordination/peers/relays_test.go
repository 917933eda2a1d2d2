package peers

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/staging"
)

// recordingConn keeps the latest datagram that was sent.
type recordingConn struct {
	net.PacketConn
	sent datagram
}

func (c *recordingConn) WriteTo(content []byte, _ net.Addr) (int, error) {
	c.sent = datagram{}
	return len(content), cbor.Unmarshal(content, &c.sent)
}

// TestRepliesHaveTheUsesThatTheirReceiverLacks guards against replies without relayed uses of
// sessions that a receiver has not received: the reply with them was lost, or it has restarted since.
func TestRepliesHaveTheUsesThatTheirReceiverLacks(t *testing.T) {
	queued := 0
	uses := func(after uint64) ([]staging.SessionUses, uint64) {
		records := make([]byte, 9*(queued-int(after)))
		return []staging.SessionUses{{Service: "s", Records: records}}, uint64(queued)
	}
	clock := boottime.Instant(time.Hour)
	table := New(Options{
		Name: "leader", Self: func() Instance { return Instance{Name: "leader", Run: "1"} },
		Payload: func() Payload {
			all, _ := uses(0)
			return Payload{Sessions: &staging.SessionReport{Relayed: all}}
		},
		Prefill: func() map[string]int64 { return nil }, Proof: func() *Proof { return nil },
		OnPayload: func(*Instance, *Payload, boottime.Instant) {}, OnProof: func(*Proof, boottime.Instant) {},
		Relayed: uses, Now: time.Now,
		Clock: func() boottime.Instant { clock++; return clock },
	})
	for i := range smallFleet + 1 {
		table.Add(Instance{Name: fmt.Sprintf("member-%d", i)})
	}
	conn := &recordingConn{}
	// poll returns the number of uses in the reply to a datagram that echoes another one, and the
	// timestamp of that reply.
	poll := func(run string, echoed boottime.Instant) (int, boottime.Instant) {
		d := &datagram{Instance: Instance{Name: "member-0", Run: run, PeerAddress: "127.0.0.1:9"}, WantsReply: true}
		d.Echo = Echo{Sent: 1, Echoed: echoed}
		table.handle(d)
		table.reply(conn, d)
		count := 0
		for _, group := range conn.sent.Payload.Sessions.Relayed {
			count += len(group.Records) / 9
		}
		return count, conn.sent.Echo.Sent
	}
	expect := func(run string, echoed boottime.Instant, want int) boottime.Instant {
		t.Helper()
		count, sentAt := poll(run, echoed)
		must.Eq(t, want, count)
		return sentAt
	}
	queued = 3
	first := expect("a", 0, 3)
	queued = 5
	second := expect("a", first, 2)
	// The second reply is lost.
	queued = 6
	third := expect("a", first, 3)
	queued = 7
	expect("a", third, 1)
	// An echo that arrives late does not undo an acknowledgement.
	expect("a", second, 1)
	last := expect("b", 0, 7)
	expect("b", last, 0)
	// A datagram of the former run that arrives late acknowledges nothing.
	expect("a", third, 7)
	expect("b", last, 7)
}
