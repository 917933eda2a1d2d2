package gateway

import "net/http"

// verdict says what the end of an attempt means for its request.
type verdict int

const (
	// deliver: the response answers the request.
	deliver verdict = iota
	// notRun: the server did not run the request and never will.
	notRun
	// serverFailed: the server ran the request and answered with a failure.
	serverFailed
	// unknown: the request may have run and its answer is lost.
	unknown
)

// String returns the name of the verdict for logs and metrics.
func (v verdict) String() string {
	switch v {
	case deliver:
		return "answered"
	case notRun:
		return "not_run"
	case serverFailed:
		return "server_failed"
	default:
		return "unknown"
	}
}

// judgeError judges an attempt that brought no response.
func judgeError(err error) verdict {
	if mayHaveRun(err) {
		return unknown
	}
	return notRun
}

// judgeReply judges a response by its header. A status that promises that the
// request has not run counts as such only where the server states it.
func judgeReply(reply *Reply, requestID string) verdict {
	switch {
	case reply.NotRun:
		return notRun
	case reply.RequestID != requestID:
		return unknown
	case isSuccess(reply.Status):
		if !reply.Sealed {
			return unknown
		}
		return deliver
	case promisesNotRun(reply.Status):
		return unknown
	case reply.Status >= http.StatusInternalServerError:
		return serverFailed
	default:
		return deliver
	}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// promisesNotRun reports whether clients take the status as a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryable reports whether a request may be sent to another server after an
// attempt with the given verdict.
func retryable(v verdict, repeatable bool) bool {
	switch v {
	case notRun:
		return true
	case unknown, serverFailed:
		return repeatable
	default:
		return false
	}
}
