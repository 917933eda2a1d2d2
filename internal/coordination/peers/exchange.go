package peers

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/boottime"
	"medlarslip/internal/pause"
)

// target is where a datagram goes, with what is particular to it.
type target struct {
	address string
	echo    boottime.Instant
	// wantsReply is true where an answer is expected, and have what is known of the
	// receiver's roster.
	wantsReply bool
	have       version
}

// Run sends and receives datagrams on conn until ctx ends.
func (t *Table) Run(ctx context.Context, conn net.PacketConn) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return t.receive(ctx, conn) })
	group.Go(func() error { return t.send(ctx, conn) })
	return group.Wait()
}

func (t *Table) receive(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// An earlier datagram met a closed port; its peer shows as silent.
			continue
		}
		var d datagram
		if cbor.Unmarshal(buffer[:n], &d) != nil {
			continue
		}
		t.handle(&d)
		if d.WantsReply {
			t.reply(conn, &d)
		}
	}
}

// reply tells a peer what it has asked for.
func (t *Table) reply(conn net.PacketConn, d *datagram) {
	to := target{address: d.Instance.PeerAddress, echo: d.Echo.Sent}
	content := t.content()
	content.Roster = t.roster.since(content.Instance.Run, d.Have)
	t.sendTo(conn, content, &to)
}

func (t *Table) send(ctx context.Context, conn net.PacketConn) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	t.runRound(conn, 0, false)
	for round := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.announceLoad:
			t.sendLoad(conn)
			pause.For(ctx, minRoundPause)
		case <-t.announce:
			pause.For(ctx, minRoundPause)
			t.runRound(conn, round, true)
			round++
		case <-ticker.C:
			t.runRound(conn, round, false)
			round++
		}
	}
}

func (t *Table) runRound(conn net.PacketConn, round int, broadcast bool) {
	t.updateOrder()
	if t.Large() {
		t.updateRoster()
	}
	t.sendRound(conn, round, broadcast)
}

// sendLoad tells the instances that are busy of the prompts that servers were
// sent.
func (t *Table) sendLoad(conn net.PacketConn) {
	targets := *t.busy.Load()
	if len(targets) == 0 {
		return
	}
	load := datagram{Instance: t.opts.Self(), Payload: Payload{Prefill: t.opts.Prefill()}}
	for i := range targets {
		t.sendTo(conn, load, &targets[i])
	}
}

// sendRound sends one datagram to each peer of a round.
func (t *Table) sendRound(conn net.PacketConn, round int, broadcast bool) {
	targets := t.targets(round, broadcast)
	if len(targets) == 0 {
		return
	}
	content := t.content()
	for i := range targets {
		t.sendTo(conn, content, &targets[i])
	}
}

// content returns what all receivers of a round are told.
func (t *Table) content() datagram {
	d := datagram{Instance: t.opts.Self(), Payload: t.opts.Payload(), Proof: t.opts.Proof()}
	if !t.Large() {
		// In a large fleet only those that need it are told, by sendLoad.
		d.Payload.Prefill = t.opts.Prefill()
	}
	return d
}

// sendTo sends a datagram. A failed send shows at the peer as a lost one.
func (t *Table) sendTo(conn net.PacketConn, d datagram, to *target) {
	d.Echo = Echo{Sent: boottime.Now(), Echoed: to.echo}
	d.WantsReply, d.Have = to.wantsReply, to.have
	content, err := cbor.Marshal(&d)
	if err != nil || len(content) > maxDatagram {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", to.address)
	if err != nil {
		return
	}
	_, _ = conn.WriteTo(content, address)
}
