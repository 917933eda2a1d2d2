package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/coordination/workload"
)

// formerPayload is the part of the payload that a build without counts of accounts reads.
type formerPayload struct {
	Applied  map[string]int64 `cbor:"1,keyasint,omitempty"`
	Era      int64            `cbor:"7,keyasint,omitempty"`
	Revision int64            `cbor:"8,keyasint,omitempty"`
}

type formerDatagram struct {
	Instance Instance      `cbor:"1,keyasint"`
	Payload  formerPayload `cbor:"2,keyasint"`
	Echo     Echo          `cbor:"3,keyasint"`
}

// TestAccountsOfAnotherBuild guards against datagrams that a build without counts of accounts,
// reports of what is learned or brittle services drops, and against counts that are taken for
// present where the sender has none.
func TestAccountsOfAnotherBuild(t *testing.T) {
	report := &admission.AccountsReport{Own: map[uint32]uint32{1: 2}, Fleet: map[uint32][2]uint32{1: {3, 40}}, Members: 2}
	sent := datagram{Instance: Instance{Name: "a"}, Payload: Payload{Applied: map[string]int64{"t": 5}, Era: 3, Revision: 9, Accounts: report, Learned: &workload.Report{Speeds: make([]byte, 10)}, BrittleServices: []brittle.Statement{{Service: "s", Limit: 2.5, Age: 3}}}}
	content, err := cbor.Marshal(&sent)
	must.NoError(t, err)
	var same datagram
	must.NoError(t, cbor.Unmarshal(content, &same))
	must.Eq(t, sent.Payload.BrittleServices, same.Payload.BrittleServices)
	var former formerDatagram
	must.NoError(t, cbor.Unmarshal(content, &former))
	must.Eq(t, formerPayload{Applied: sent.Payload.Applied, Era: 3, Revision: 9}, former.Payload)
	content, err = cbor.Marshal(&former)
	must.NoError(t, err)
	var received datagram
	must.NoError(t, cbor.Unmarshal(content, &received))
	must.Nil(t, received.Payload.Accounts)
	must.Nil(t, received.Payload.Learned)
	must.Nil(t, received.Payload.BrittleServices)
	must.Eq(t, int64(9), received.Payload.Revision)
}
