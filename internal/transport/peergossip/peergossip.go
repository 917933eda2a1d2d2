// Package peergossip carries gossip exchanges over the authenticated connections
// between entry instances.
package peergossip

import (
	"context"
	"encoding/json"

	"medlarslip/internal/transport/peer"
)

// method is the method of package peer that carries an exchange.
const method = "gossip"

// payload is an encoded exchange.
type payload struct {
	Data []byte `json:"d"`
}

// Transport starts exchanges. It implements gossip.Transport.
type Transport struct{ Client *peer.Client }

// Exchange sends an exchange to the member with the control address and returns
// its reply. The error is of one of the kinds of package peer.
func (t Transport) Exchange(ctx context.Context, address string, data []byte) ([]byte, error) {
	var answer payload
	err := t.Client.Call(ctx, address, method, payload{Data: data}, &answer)
	return answer.Data, err
}

// Receiver answers exchanges that other members start.
type Receiver interface {
	Receive(ctx context.Context, raw []byte) ([]byte, error)
}

// Handle registers receiver as the handler of gossip exchanges at server.
func Handle(server *peer.Server, receiver Receiver) {
	server.Handle(method, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var request payload
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		answer, err := receiver.Receive(ctx, request.Data)
		return payload{Data: answer}, err
	})
}
