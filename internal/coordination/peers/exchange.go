package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarslip/internal/boottime"
	"medlarslip/internal/pause"
)

// target is where a datagram goes, with what it echoes.
type target struct {
	address string
	echo    boottime.Instant
}

// targets returns the peers that get a datagram in the given round.
func (t *Table) targets(round int) []target {
	order := *t.order.Load()
	leaders := order[:min(len(order), Leaders)]
	all := slices.Contains(leaders, t.opts.Name) || round%sparse == 0
	t.mu.Lock()
	defer t.mu.Unlock()
	all = all || len(t.peers) <= smallFleet
	targets := make([]target, 0, len(t.peers))
	for name, p := range t.peers {
		if all || slices.Contains(leaders, name) {
			targets = append(targets, target{address: p.instance.PeerAddress, echo: p.echo})
		}
	}
	return targets
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
		if json.Unmarshal(buffer[:n], &d) == nil {
			t.hear(&d)
		}
	}
}

func (t *Table) send(ctx context.Context, conn net.PacketConn) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		t.renewOrder()
		t.sendRound(conn, round)
		select {
		case <-ctx.Done():
			return nil
		case <-t.kick:
			pause.For(ctx, kickPause)
		case <-ticker.C:
		}
	}
}

// sendRound sends one datagram to each peer of a round. A failed send shows at
// the peer as a lost datagram.
func (t *Table) sendRound(conn net.PacketConn, round int) {
	d := datagram{Instance: t.opts.Self(), News: t.opts.News(), Proof: t.opts.Proof()}
	for _, to := range t.targets(round) {
		d.Echo = Echo{Sent: boottime.Now(), Echoed: to.echo}
		content, err := json.Marshal(&d)
		if err != nil || len(content) > maxDatagram {
			return
		}
		address, err := net.ResolveUDPAddr("udp4", to.address)
		if err != nil {
			continue
		}
		_, _ = conn.WriteTo(content, address)
	}
}
