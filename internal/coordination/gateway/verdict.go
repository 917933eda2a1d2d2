package gateway

import "net/http"

// verdict classifies the end of an attempt.
type verdict int

const (
	// deliver: the response answers the request and may be delivered.
	deliver verdict = iota
	// notRun: the server did not run the request and never will.
	notRun
	// serverFailed: the server ran the request and returned an error.
	serverFailed
	// unknown: the request may have run, and its response is lost.
	unknown
)

// String returns the name of the verdict in logs and metrics.
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

// judgeError returns the verdict of an attempt without a response.
func judgeError(err error) verdict {
	if mayHaveRun(err) {
		return unknown
	}
	return notRun
}

// judgeReply returns the verdict of a response by its header. A status that
// implies that the request has not run counts as such only if the server also
// states it. A refusal of another request says nothing about this one.
func judgeReply(reply *Reply, requestID string) verdict {
	switch {
	case reply.NotRun && (reply.RequestID == requestID || reply.RequestID == ""):
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

// promisesNotRun reports whether clients conclude from the status that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryable reports whether a request may be sent to another server after an
// attempt with verdict v. repeatable is true if the request may run twice.
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
