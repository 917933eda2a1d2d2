package httpconn_test

import "testing"

// TestInvalidFramingIsNoResponse guards against the delivery of a body that is not the server's: its framing is
// faulty or not understood, and a reader took the body as it came.
func TestInvalidFramingIsNoResponse(t *testing.T) {
	const chunked = "\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	texts := map[string]string{
		"unknown coding":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip" + chunked,
		"coding before chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked" + chunked,
		"chunks twice":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked" + chunked,
		"identity":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\ndone",
		"chunks of HTTP/1.0":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunked,
		"chunks of HTTP/1.0 with a length":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14" + chunked,
		"chunks with a length":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4" + chunked,
		"folded line":                       "HTTP/1.1 200 OK\r\nX-Seal: a\r\n Content-Length: 2\r\nContent-Length: 4\r\n\r\ndone",
		"length on a folded line":           "HTTP/1.1 200 OK\r\nX-Seal: a\r\n Content-Length: 4\r\n\r\ndone and more",
		"empty length":                      "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\ndone",
		"list of lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\ndone",
		"length of a blank":                 "HTTP/1.1 200 OK\r\nContent-Length: 4 2\r\n\r\ndone",
		"control byte in a value":           "HTTP/1.1 200 OK\r\nX-Seal: a\x00b\r\nContent-Length: 4\r\n\r\ndone",
		"bare CR in a value":                "HTTP/1.1 200 OK\r\nX-Seal: a\rContent-Length: 2\r\nContent-Length: 4\r\n\r\ndone",
		"version":                           "HTTP/1.x 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"two blanks before the status":      "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"empty line before":                 "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"chunk size with a sign":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\ndone\r\n0\r\n\r\n",
		"chunk size with a prefix":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x4\r\ndone\r\n0\r\n\r\n",
		"chunk size followed by text":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4zz\r\ndone\r\n0\r\n\r\n",
		"chunk size ended by LF":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\ndone\r\n0\r\n\r\n",
		"chunk longer than its size":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndoneX\r\n0\r\n\r\n",
		"empty chunk size":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n\r\n\r\n",
		"last chunk without its empty line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n",
		"last chunk without its end":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0",
		"no last chunk":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"trailer without its end":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Seal: a\r\n",
		"trailer that is a response":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
		"shorter than its length":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone",
		"interim with an invalid name":      "HTTP/1.1 103 Early Hints\r\nX Seal: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) { mustReject(t, text) })
	}
}
