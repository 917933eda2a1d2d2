package keyedlog

import (
	"context"
	"errors"

	"medlarslip/internal/boottime"
)

// readPeer fetches the missing records from a peer, or reads the store if the peer
// does not relay them.
func (f *Follower) readPeer(ctx context.Context, address string) error {
	err := f.fetchFromPeer(ctx, address)
	if err == nil {
		return nil
	}
	f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("peer did not relay records; reading the store")
	return f.readStore(ctx, 0)
}

// fromNewest is the offset that requests a snapshot.
const fromNewest = -1

// fetchFromPeer fetches the missing records from a peer, or a snapshot if the peer no
// longer keeps all of them.
func (f *Follower) fetchFromPeer(ctx context.Context, address string) error {
	if f.next < 0 {
		return f.fetchRelayed(ctx, address, fromNewest)
	}
	err := f.fetchRelayed(ctx, address, f.next)
	if errors.Is(err, ErrNotKept) {
		err = f.fetchRelayed(ctx, address, fromNewest)
	}
	return err
}

func (f *Follower) fetchRelayed(ctx context.Context, address string, from int64) error {
	p, err := f.opts.Relay.Fetch(ctx, address, f.opts.Topic, Position{f.era, from})
	if err != nil {
		return err
	}
	if (Position{p.Era, p.Next}).Before(f.Applied()) || (p.Era != f.era && !p.Snapshot) {
		return ErrNotKept
	}
	if err := f.observeEra(p.Era); err != nil {
		return err
	}
	if p.Regained != nil {
		f.regainedAt.Store(int64(f.opts.Clock() - boottime.Instant(*p.Regained)))
	}
	if p.Snapshot {
		f.restart(p.Records, p.Next)
		f.end.Store(p.Next)
	} else {
		f.apply(p.Records, p.Next)
	}
	f.next = p.Next
	f.opts.Reader.CaughtUp()
	f.markApplied(p.Next)
	return nil
}

// ObservePeer reports up to which position the peer at an address has applied records,
// and the highest revision that it knows. If the peer is ahead, its records will be
// fetched. It does not block.
func (f *Follower) ObservePeer(position Position, revision int64, address string) {
	f.observePeerEra(position)
	f.observeRevision(position, revision)
	if !f.Applied().Before(position) {
		return
	}
	select {
	case f.ahead <- address:
	default:
	}
}

// Since returns the records from a position on for a peer, or a snapshot for a
// negative offset. The error is ErrNotKept if some are not kept.
func (f *Follower) Since(from Position) (*RelayedPage, error) {
	if !f.Loaded() {
		return nil, ErrNotKept
	}
	p := &RelayedPage{Snapshot: from.Offset < 0}
	var end Position
	if p.Snapshot {
		p.Records, end = f.history.snapshot()
	} else {
		var kept bool
		if p.Records, end, kept = f.history.since(from); !kept {
			return nil, ErrNotKept
		}
	}
	p.Era, p.Next = end.Era, end.Offset
	regained := f.RegainedAt()
	if ago := f.opts.Clock().Since(regained); regained != 0 && ago < regainedReportTime {
		p.Regained = &ago
	}
	return p, nil
}
