package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// errStatus reports a status line that is none of HTTP/1, or a status outside of the range of RFC 9110, section
// 15. The codecs accept some of these, and take 000 as an interim response or as 200.
var errStatus = errors.New("status of the response is invalid; the server may be faulty, or no HTTP/1 server")

const maxStatus = 599

// parseStatus returns the status of a response with this protocol version and status line.
func parseStatus(proto, line string) (int, error) {
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	switch {
	case err != nil, len(code) != len("200"), status < http.StatusContinue, status > maxStatus:
		return 0, errStatus
	case status == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return 0, errStatus
	case !strings.HasPrefix(proto, "HTTP/1."):
		return 0, errStatus
	}
	return int(status), nil
}

// skipInterim discards the interim responses before the final one, and checks the status of each.
func (c *conn) skipInterim() error {
	defer c.limitHeader()()
	for {
		head, err := peekHead(c.reader)
		if err != nil {
			return err
		}
		line, _, _ := bytes.Cut(head, []byte("\n"))
		proto, rest, _ := strings.Cut(strings.TrimSuffix(string(line), "\r"), " ")
		status, err := parseStatus(proto, rest)
		if err != nil || status >= http.StatusOK {
			return err
		}
		if _, err := c.reader.Discard(len(head)); err != nil {
			return err
		}
	}
}

// peekHead returns the header of the next response, which stays in the reader.
func peekHead(reader *bufio.Reader) ([]byte, error) {
	for {
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, err
		}
		if size := headSize(buffered); size > 0 {
			return buffered[:size], nil
		}
		switch _, err := reader.Peek(len(buffered) + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errHeaderTooLong
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// headSize returns the size of the header that the text begins with, with its final empty line; 0 if the
// text does not hold all of it.
func headSize(text []byte) int {
	size := 0
	for line := range bytes.Lines(text) {
		size += len(line)
		if string(line) == "\n" || string(line) == "\r\n" {
			return size
		}
	}
	return 0
}
