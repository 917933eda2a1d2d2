package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is a final response that the gateway itself gives.
type refusal struct {
	status int
	// cause names the reason for logs and metrics.
	cause string
	// remedy is the text for the client: what happened and what to do.
	remedy string
	// retryAfter is the wait before a retry; 0 sends no Retry-After.
	retryAfter time.Duration
}

const (
	// retrySoon is the wait where another server may become available.
	retrySoon = 150 * time.Millisecond
	// retryLater is the wait where this instance first has to confirm its
	// configuration.
	retryLater = 500 * time.Millisecond
)

var (
	refuseNoConfiguration = refusal{http.StatusServiceUnavailable, "no_configuration", "not run: no configuration is known yet; come back soon", retrySoon}
	refuseLeaving         = refusal{http.StatusServiceUnavailable, "leaving", "not run: this instance stops; use another address", retrySoon}
	refuseStale           = refusal{http.StatusServiceUnavailable, "configuration_stale", "not run: it is not certain that the key is still valid; come back soon or use another address", retryLater}
	refuseNoRoute         = refusal{http.StatusNotFound, "no_route", "no route leads here; check host and path", 0}
	refuseKey             = refusal{http.StatusUnauthorized, "unknown_key", "the API key is missing or unknown; send a valid one", 0}
	refuseTooLarge        = refusal{http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the limit; send a smaller one", 0}
	refuseHeader          = refusal{http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the header is larger than the limit; send a smaller one", 0}
	refuseBody            = refusal{http.StatusBadRequest, "body_unreadable", "the body could not be read; send it whole", 0}
	refuseBodyTimeout     = refusal{http.StatusRequestTimeout, "body_timeout", "not run: the body did not arrive in time; send it again", 0}
	refuseEvicted         = refusal{http.StatusRequestTimeout, "body_evicted", "not run: the body stalled while memory was short; send it again", 0}
	refuseMemory          = refusal{http.StatusServiceUnavailable, "client_memory", "not run: clients hold too much memory here; come back soon or use another address", retryLater}
	refuseNoServer        = refusal{http.StatusServiceUnavailable, "no_server", "not run: no server may take the request now; come back soon", retrySoon}
	refuseCutOff          = refusal{http.StatusServiceUnavailable, "cut_off", "not run: this instance reaches no server now; use another address", retrySoon}
	refuseNotRun          = refusal{http.StatusServiceUnavailable, "not_run", "not run: every server that was asked refused; come back soon", retrySoon}
	refuseLate            = refusal{http.StatusServiceUnavailable, "no_time_left", "not run: the time for the answer is over; allow more time", retrySoon}
	refuseNoCapacity      = refusal{http.StatusServiceUnavailable, "no_capacity", "not run: the servers have no capacity for the request in time; come back after the given time", retrySoon}
	refuseLost            = refusal{http.StatusBadGateway, "answer_lost", "the request may have run, and its answer is lost; check before it is repeated", 0}
	refuseStopped         = refusal{http.StatusBadGateway, "cut_by_stop", "the request may have run, and this instance stops before its answer; check before it is repeated", 0}
	refuseDropped         = refusal{http.StatusBadGateway, "answer_dropped", "the request may have run, and this instance has no memory for its answer; check before it is repeated", 0}
	refuseStronger        = refusal{http.StatusBadGateway, "stronger_run_refused", "the request ran on a smaller model, whose weak answer was dropped, and no server ran a stronger one; it may be sent again", retrySoon}
	refuseTimeout         = refusal{http.StatusGatewayTimeout, "timeout", "the request may have run, and its answer is late; check before it is repeated", 0}
)

// write sends the refusal to the client.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(r.remedy)+1))
	w.WriteHeader(r.status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write([]byte(r.remedy + "\n"))
}
