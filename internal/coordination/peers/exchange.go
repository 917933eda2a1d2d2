package peers

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/pause"
)

// target is the destination of a datagram, with the fields that differ between the
// datagrams of a round.
type target struct {
	// name is the name of the receiver of a scheduled datagram or of a reply; empty otherwise.
	name    string
	address string
	echo    boottime.Instant
	// wantsReply requests a reply; have is the known version of the receiver's
	// roster.
	wantsReply bool
	have       version
}

// Run sends and receives datagrams on conn until ctx ends; it returns nil then. It
// closes conn.
func (t *Table) Run(ctx context.Context, conn net.PacketConn) error {
	t.conn.Store(&conn)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return t.receive(ctx, conn) })
	group.Go(func() error { return t.send(ctx, conn) })
	group.Go(func() error { return t.watch(ctx, conn) })
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
			// An earlier datagram reached a closed port; its peer will time out.
			continue
		}
		var d datagram
		if cbor.Unmarshal(buffer[:n], &d) != nil {
			continue
		}
		if d.Probe != nil {
			t.handleProbe(conn, d.Probe)
			continue
		}
		if d.Permit != nil {
			t.heard(d.Instance.Name)
			t.handlePermit(conn, &d)
			continue
		}
		first := t.handle(&d)
		switch {
		case d.WantsReply || t.knowsLargerFleet(&d):
			t.reply(conn, &d)
		case first && !t.Large():
			// An instance that starts waits for what its peers know.
			t.sendTo(conn, t.content(), &target{address: d.Instance.PeerAddress, echo: d.Echo.Sent})
		}
	}
}

// knowsLargerFleet reports whether the sender of a datagram takes a large fleet for a
// small one. It polls no leader then, and the instances that it does not know poll only
// the leaders, so it learns of them only from a roster.
func (t *Table) knowsLargerFleet(d *datagram) bool {
	return d.Peers > 0 && d.Peers <= smallFleet && t.Large()
}

// reply sends the roster to the sender of a datagram.
func (t *Table) reply(conn net.PacketConn, d *datagram) {
	to := target{name: d.Instance.Name, address: d.Instance.PeerAddress, echo: d.Echo.Sent}
	content := t.content()
	content.Roster = t.roster.since(content.Instance.Run, d.Have)
	t.sendReply(conn, content, &to)
}

// handlePermit passes on a message about a permit and sends its reply.
func (t *Table) handlePermit(conn net.PacketConn, d *datagram) {
	if reply := t.opts.OnPermit(d.Permit); reply != nil {
		t.sendPermitTo(conn, reply, d.Instance.PeerAddress)
	}
}

// SendPermit sends a message about a permit to an instance. It is dropped if the
// instance is not known.
func (t *Table) SendPermit(instance string, m *fleetlimit.Message) {
	if conn, address := t.conn.Load(), t.peerAddress(instance); conn != nil && address != "" {
		t.sendPermitTo(*conn, m, address)
	}
}

// peerAddress returns the address of another instance for datagrams; empty if it is
// not known.
func (t *Table) peerAddress(instance string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		return p.instance.PeerAddress
	}
	return ""
}

func (t *Table) sendPermitTo(conn net.PacketConn, m *fleetlimit.Message, address string) {
	self := t.opts.Self()
	d := datagram{Instance: Instance{Name: self.Name, PeerAddress: self.PeerAddress}, Permit: m}
	t.sendTo(conn, d, &target{address: address})
}

func (t *Table) send(ctx context.Context, conn net.PacketConn) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	t.runRound(conn, 0, false)
	var repeat <-chan time.Time
	state := stateOf(t.opts.Self())
	for round := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-repeat:
			repeat = nil
			t.sendRound(conn, round, true)
		case <-t.announceLoad:
			t.sendLoad(conn)
			pause.For(ctx, minRoundPause)
		case <-t.announceUrgent:
			t.sendUrgent(conn)
			pause.For(ctx, minRoundPause)
		case <-t.announce:
			pause.For(ctx, minRoundPause)
			t.runRound(conn, round, true)
			round++
			if now := stateOf(t.opts.Self()); now != state && !t.Large() {
				state, repeat = now, time.After(repeatDelay)
			}
		case <-ticker.C:
			t.runRound(conn, round, false)
			round++
		}
	}
}

// instanceState is the part of the description of an instance on which directories depend.
type instanceState struct{ ready, storeLost, leaving, cutOff bool }

func stateOf(i Instance) instanceState {
	return instanceState{i.Ready, i.StoreLost, i.Leaving, i.CutOff}
}

func (t *Table) runRound(conn net.PacketConn, round int, broadcast bool) {
	t.updateWatching(t.updateOrder())
	if t.Large() {
		t.updateRoster()
	}
	t.sendRound(conn, round, broadcast)
}

// sendLoad sends the prefill times of the prompts of this instance to the busy
// instances.
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

// sendUrgent sends the urgent payload and the suspicions.
func (t *Table) sendUrgent(conn net.PacketConn) {
	urgent := datagram{Instance: t.opts.Self()}
	if t.opts.UrgentPayload != nil {
		urgent.Payload = t.opts.UrgentPayload()
	}
	urgent.Payload.Suspicions = t.detector.Report()
	if !t.Large() {
		// Receivers in a small fleet replace the times that they know by those of each datagram.
		urgent.Payload.Prefill = t.opts.Prefill()
	}
	targets := t.urgentTargets()
	for i := range targets {
		targets[i].name = ""
		t.sendTo(conn, urgent, &targets[i])
	}
}

// sendRound sends the datagrams of a round.
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

// content returns the part of a datagram that is the same for all receivers.
func (t *Table) content() datagram {
	d := datagram{Instance: t.opts.Self(), Payload: t.opts.Payload(), Proof: t.opts.Proof(), Peers: t.Known() - 1}
	d.Payload.Suspicions = t.detector.Report()
	if !t.Large() {
		// In a large fleet sendLoad sends it to those that need it.
		d.Payload.Prefill = t.opts.Prefill()
	}
	return d
}

// sendTo sends a datagram. Errors are ignored: a failed send is equivalent to a
// lost datagram. It returns the timestamp of the datagram.
func (t *Table) sendTo(conn net.PacketConn, d datagram, to *target) boottime.Instant {
	d.Echo = Echo{Sent: t.opts.Clock(), Echoed: to.echo}
	d.WantsReply, d.Have = to.wantsReply, to.have
	if to.name != "" && t.opts.Learned != nil {
		d.Payload.Learned = t.opts.Learned(to.name, slices.Contains(t.leaders(), to.name))
	}
	content, err := cbor.Marshal(&d)
	if err != nil || len(content) > maxDatagram {
		return d.Echo.Sent
	}
	address, err := net.ResolveUDPAddr("udp4", to.address)
	if err != nil {
		return d.Echo.Sent
	}
	_, _ = conn.WriteTo(content, address)
	return d.Echo.Sent
}
