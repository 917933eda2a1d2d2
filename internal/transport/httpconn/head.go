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

// errFieldName reports a line of a header that has no valid name (RFC 9110, section 5.1). The codecs accept
// names with blanks, and each reads "Content-Length : 2" in its own way.
var errFieldName = errors.New("header of the response has a line without a valid field name; the server may be faulty")

// errLength reports lengths of a body that contradict each other, or none of which is a number, and a length beside
// chunks, which may be that of another response (RFC 9112, section 6.3).
var errLength = errors.New("header of the response states no single length; the server may be faulty")

// errEncoding reports a header that states chunks in HTTP/1.0, which has none (RFC 9112, section 6.1). net/http takes
// the chunks as the body, with their sizes.
var errEncoding = errors.New("header of the response states chunks in HTTP/1.0; the server may be faulty")

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

// skipInterim discards the interim responses before the final one, and checks the header of each response, which
// peek returns.
func (c *conn) skipInterim(peek func() ([]byte, error)) error {
	defer c.limitHeader()()
	for {
		head, err := peek()
		if err != nil {
			return err
		}
		status, err := checkHead(head)
		if err != nil || status >= http.StatusOK {
			return err
		}
		if _, err := c.reader.Discard(len(head)); err != nil {
			return err
		}
	}
}

// checkHead returns the status of a header, with its final empty line, and checks its field names and what it
// states of the body.
func checkHead(head []byte) (int, error) {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	proto, rest, _ := strings.Cut(strings.TrimSuffix(string(line), "\r"), " ")
	status, err := parseStatus(proto, rest)
	if err != nil {
		return 0, err
	}
	length, encoded := "", false
	for line := range bytes.Lines(fields) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return 0, errFieldName
		}
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			encoded = true
		}
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		stated := string(bytes.Trim(value, " \t"))
		if _, err := strconv.ParseUint(stated, 10, 63); err != nil || (length != "" && length != stated) {
			return 0, errLength
		}
		length = stated
	}
	switch {
	case encoded && proto == "HTTP/1.0":
		return 0, errEncoding
	case encoded && length != "":
		return 0, errLength
	}
	return status, nil
}

// peekHead returns the header of the next response, which stays in the reader and must fit into its buffer.
func (c *conn) peekHead() ([]byte, error) {
	// The lines that are complete are not read again when more arrives.
	complete := 0
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(buffered[complete:]) {
			if !bytes.HasSuffix(line, []byte("\n")) {
				break
			}
			complete += len(line)
			if string(line) == "\n" || string(line) == "\r\n" {
				return buffered[:complete], nil
			}
		}
		switch _, err := c.reader.Peek(len(buffered) + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errHeaderTooLong
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// peekLongHead is peekHead for a header of up to maxHeaderBytes. The buffer grows if it is too small.
func (c *conn) peekLongHead() ([]byte, error) {
	head, err := c.peekHead()
	if !errors.Is(err, errHeaderTooLong) || c.reader.Size() >= maxHeaderBytes {
		return head, err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), maxHeaderBytes)
	return c.peekHead()
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2), as names of fields are.
func isToken(text []byte) bool {
	for _, c := range text {
		letter, digit := 'a' <= c|0x20 && c|0x20 <= 'z', '0' <= c && c <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}
