package instance

import (
	"context"
	"encoding/json"

	"medlarslip/internal/transport/peer"
)

// gossipMethod is the method of package peer that carries an exchange.
const gossipMethod = "gossip"

// gossipPayload is an encoded exchange.
type gossipPayload struct {
	Data []byte `json:"d"`
}

// gossipTransport carries exchanges of gossip over the peer connections.
type gossipTransport struct{ client *peer.Client }

// Exchange implements gossip.Transport.
func (t gossipTransport) Exchange(ctx context.Context, address string, payload []byte) ([]byte, error) {
	var answer gossipPayload
	err := t.client.Call(ctx, address, gossipMethod, gossipPayload{Data: payload}, &answer)
	return answer.Data, err
}

// gossipReceiver answers exchanges.
type gossipReceiver interface {
	Receive(ctx context.Context, raw []byte) ([]byte, error)
}

func handleGossip(server *peer.Server, receiver gossipReceiver) {
	server.Handle(gossipMethod, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var payload gossipPayload
		if err := json.Unmarshal(params, &payload); err != nil {
			return nil, err
		}
		answer, err := receiver.Receive(ctx, payload.Data)
		return gossipPayload{Data: answer}, err
	})
}
