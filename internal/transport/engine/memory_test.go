package engine_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/standin/memorymeter"
)

func largeCall(address string, memory attempt.Memory) *attempt.EngineCall {
	call := newCall(address)
	call.Body["messages"] = json.RawMessage(`[{"role":"user","content":"` + strings.Repeat("l", largeCallBytes) + `"}]`)
	call.Memory = memory
	return call
}

const largeCallBytes = 100 << 10

// TestCopiesOfBodiesCount guards against copies of request bodies that are not accounted for while an engine works,
// and against ones that still count afterwards.
func TestCopiesOfBodiesCount(t *testing.T) {
	address := loopback.Serve(t, newEngine(engineserver.FaultNone, false).Handle)
	client := newClient(t)
	m := &memorymeter.Meter{Limit: 1 << 30}
	answer, err := client.Complete(context.Background(), largeCall(address, m))
	must.NoError(t, err)
	must.Between(t, largeCallBytes, m.Peak, largeCallBytes+4<<10)
	must.Less(t, 8<<10, m.Held)
	answer.Held.Release()
	must.Zero(t, m.Held)

	m.Peak = 0
	stream, err := client.Open(context.Background(), largeCall(address, m), 0)
	must.NoError(t, err)
	must.Between(t, largeCallBytes, m.Peak, largeCallBytes+4<<10)
	stream.Close()
	must.Zero(t, m.Held)
}

// TestBodiesThatDoNotFitAreNotSent guards against a request that is sent although there is no memory for it, or
// that is reported as one that may have run.
func TestBodiesThatDoNotFitAreNotSent(t *testing.T) {
	e := newEngine(engineserver.FaultNone, false)
	address := loopback.Serve(t, e.Handle)
	client := newClient(t)
	m := &memorymeter.Meter{Limit: largeCallBytes}
	_, err := client.Complete(context.Background(), largeCall(address, m))
	must.ErrorIs(t, err, attempt.ErrBodyMemory)
	_, err = client.Open(context.Background(), largeCall(address, m), 0)
	must.ErrorIs(t, err, attempt.ErrBodyMemory)
	must.Len(t, 0, e.Calls())
	must.Zero(t, m.Held)
}

// TestUnfinishedMessageFollowsTheOthers guards against a continuation that loses messages.
func TestUnfinishedMessageFollowsTheOthers(t *testing.T) {
	e := newEngine(engineserver.FaultNone, false)
	call := newCall(loopback.Serve(t, e.Handle))
	call.Body["messages"] = json.RawMessage("[{\"role\":\"user\",\"content\":\"hello\"} ]\n")
	call.Unfinished = json.RawMessage(`{"role":"assistant","content":"x"}`)
	_, err := newClient(t).Complete(context.Background(), call)
	must.NoError(t, err)
	must.Len(t, 1, e.Calls())
	messages := e.Calls()[0].Messages
	must.Len(t, 2, messages)
	must.Eq(t, "user", messages[0].Role)
	must.Eq(t, "assistant", messages[1].Role)
}
