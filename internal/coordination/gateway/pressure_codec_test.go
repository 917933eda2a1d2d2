package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"medlarslip/internal/state/backends"
)

// fleetCodec encodes the headers of a pressureFleet.
type fleetCodec struct{}

func (fleetCodec) DecodeCall(h http.Header) (Call, error) {
	deadline, err := time.ParseDuration(h.Get("Sim-Deadline"))
	return Call{ID: h.Get("Sim-Id"), Deadline: deadline, Key: h.Get("Sim-Key"), AnyModel: h.Get("Sim-Any") != "", Model: h.Get("Sim-Model"), PromptTokens: 100}, err
}

func (fleetCodec) EncodeAttempt(h http.Header, a Attempt) http.Header {
	out := h.Clone()
	out.Set("Sim-Priority", strconv.Itoa(a.Priority))
	if a.Model != "" {
		out.Set("Sim-Model", a.Model)
	}
	return out
}

func (fleetCodec) DecodeReply(status int, h http.Header) Reply {
	reply := Reply{Status: status, RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Sealed: h.Get("Sealed") != "", Confidence: -1}
	if confidence, err := strconv.Atoi(h.Get("Confidence")); err == nil {
		reply.Confidence = confidence
	}
	if parts := strings.Split(h.Get("Load"), ","); len(parts) == 3 {
		load := &backends.Load{}
		load.Running, _ = strconv.Atoi(parts[0])
		load.Waiting, _ = strconv.Atoi(parts[1])
		load.Slots, _ = strconv.Atoi(parts[2])
		reply.Load = load
	}
	return reply
}

func (fleetCodec) EncodeResponse(h http.Header) http.Header { return h.Clone() }
