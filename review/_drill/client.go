package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a connection of a client to an instance.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a channel from a loopback address; an empty one lets the kernel choose.
func connect(address, from string) (*channel, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is a request of a client.
type request struct {
	method, path, id string
	deadline         time.Duration
	// headers are further header lines, each with its line end.
	headers string
}

// head returns the request line and the header.
func (r *request) head() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Medlarslip-Request-Id: %s\r\nX-Medlarslip-Deadline-Ms: %d\r\n",
		r.method, r.path, host, apiKey, r.id, r.deadline.Milliseconds())
	if r.method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString(r.headers)
	b.WriteString("\r\n")
	return b.String()
}

// reply is what a client gets.
type reply struct {
	status int
	header http.Header
	body   string
	// whole is true if the body ended as framed.
	whole bool
}

func (r *reply) String() string {
	if r == nil {
		return "closed without an answer"
	}
	return fmt.Sprintf("%d, body %d bytes, whole %t", r.status, len(r.body), r.whole)
}

// do sends a request and reads its answer; nil if the channel ended before one.
func (c *channel) do(r *request) (*reply, error) {
	if err := c.SetDeadline(time.Now().Add(r.deadline)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, r.head()); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}, nil
}

// resolve asks the directory of an instance for the addresses that clients use.
func resolve(i *instance) ([]string, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.address(i.ports.directory) + "/api/resolve?name=" + host + "&region=padania&zone=pv-piacenza")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}
