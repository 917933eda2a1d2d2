package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/transport/enginemetrics"
	"medlarslip/internal/transport/platformclient"
)

const (
	naiveMethod   = "naive.state"
	naiveInterval = time.Second
	naiveTimeout  = 900 * time.Millisecond
)

// naive is the coordination of a node in DesignNaive, the baseline: each second
// it reads the whole instance list and the load of all servers, and exchanges
// its full state with a random peer.
type naive struct {
	node   *node
	list   *platformclient.Client
	reader *enginemetrics.Client

	mu    sync.Mutex
	state naiveState
}

// naiveState is the full state that naive nodes exchange. Marks counts the
// urgent changes by key.
type naiveState struct {
	Members map[string]platform.Instance `json:"members"`
	Loads   map[string]backends.Load     `json:"loads"`
	Marks   map[string]uint64            `json:"marks"`
}

func newNaive(n *node, list *platformclient.Client, reader *enginemetrics.Client) *naive {
	v := &naive{node: n, list: list, reader: reader}
	v.state = naiveState{Members: map[string]platform.Instance{}, Loads: map[string]backends.Load{}, Marks: map[string]uint64{}}
	n.server.Handle(naiveMethod, v.receive)
	return v
}

func (v *naive) run(ctx context.Context) error {
	pause.Every(ctx, naiveInterval, func() { v.tick(ctx) })
	return nil
}

func (v *naive) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	list, err := v.list.Instances(ctx)
	if err != nil {
		return
	}
	v.exchange(ctx, list)
	for _, instance := range list.Instances {
		if instance.Role == platform.RoleEntry {
			continue
		}
		if load, err := v.reader.Load(ctx, instance.Address); err == nil {
			v.mu.Lock()
			v.state.Loads[instance.ID] = load
			v.mu.Unlock()
		}
	}
}

// exchange adds the entry instances in the list to the state, and exchanges full
// states with a random one of them.
func (v *naive) exchange(ctx context.Context, list *platform.InstanceList) {
	var peers []platform.Instance
	v.mu.Lock()
	for _, instance := range list.Instances {
		if instance.Role == platform.RoleEntry {
			v.state.Members[instance.ID] = instance
			if instance.ID != v.node.self.ID {
				peers = append(peers, instance)
			}
		}
	}
	state, err := json.Marshal(v.state)
	v.mu.Unlock()
	if err != nil || len(peers) == 0 {
		return
	}
	var answer naiveState
	target := peers[rand.IntN(len(peers))]
	if v.node.client.Call(ctx, target.ControlAddress, naiveMethod, json.RawMessage(state), &answer) == nil {
		v.merge(&answer)
	}
}

func (v *naive) receive(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var state naiveState
	if err := json.Unmarshal(params, &state); err != nil {
		return nil, err
	}
	v.merge(&state)
	v.mu.Lock()
	defer v.mu.Unlock()
	answer, err := json.Marshal(v.state)
	return json.RawMessage(answer), err
}

func (v *naive) merge(state *naiveState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, mark := range state.Marks {
		v.state.Marks[id] = max(v.state.Marks[id], mark)
	}
	for id, load := range state.Loads {
		if load.ReadAt.After(v.state.Loads[id].ReadAt) {
			v.state.Loads[id] = load
		}
	}
}

func (v *naive) mark(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state.Marks[id]++
}

func (v *naive) hasMark(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Marks[id] > 0
}
