package instance

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/transport/peer"
)

// exchangeMethod is the peer method by which entry instances replicate the
// document in force.
const exchangeMethod = "configuration.exchange"

// addConfiguration adds the parts that follow the document in force, replicate
// it to other instances, write snapshots of it to the log, and write the audit
// trail.
func (a *assembly) addConfiguration() error {
	keys, err := a.settings.Keys.PublicKeys()
	if err != nil {
		return err
	}
	a.store = configuration.NewStore(keys)
	a.budget = eventlog.NewBudget(a.fleetSize)
	follower := configuration.NewFollower(a.store, a.log)
	snapshots := configuration.NewSnapshotter(follower, a.log, a.budget, a.settings.Instance, a.incarnation)
	replicator := configuration.NewReplicator(a.settings.Instance, a.incarnation, a.store, a, peerCaller{a.peerClient})
	a.peerServer.Handle(exchangeMethod, handleExchange(replicator))
	a.trail = audit.NewTrail(a.log, a.store, a.budget, a.settings.Instance, a.incarnation)
	a.servingTasks = append(a.servingTasks, follower.Run, snapshots.Run, replicator.Run)
	a.writerTasks = append(a.writerTasks, a.trail.Run)
	return nil
}

// PeerAddresses implements configuration.Peers. It returns none until addFleet
// has set the members.
func (a *assembly) PeerAddresses() []string {
	addresses := []string{}
	if a.members == nil {
		return addresses
	}
	for _, instance := range a.members.EntryInstances() {
		if instance.ID != a.settings.Instance && instance.ControlAddress != "" {
			addresses = append(addresses, instance.ControlAddress)
		}
	}
	return addresses
}

// fleetSize returns the number of entry instances, or 0 while no other instance
// is known.
func (a *assembly) fleetSize() int {
	others := len(a.PeerAddresses())
	if others == 0 {
		return 0
	}
	return others + 1
}

func handleExchange(replicator *configuration.Replicator) peer.Handler {
	return func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var request configuration.Exchange
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, merry.Prepend(err, "decode a configuration exchange; update the calling instance")
		}
		return replicator.Answer(&request), nil
	}
}

// peerCaller implements configuration.Transport.
type peerCaller struct{ client *peer.Client }

// Exchange implements configuration.Transport.
func (c peerCaller) Exchange(ctx context.Context, address string, request *configuration.Exchange) (*configuration.Exchange, error) {
	var answer configuration.Exchange
	if err := c.client.Call(ctx, address, exchangeMethod, request, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
