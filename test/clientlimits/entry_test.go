package clientlimits_test

import (
	"context"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/standin/localfleet"
)

const (
	// entryConnections is limits.max_connections of medlarslip-entry.
	entryConnections = 400
	// entryMaxBody is limits.max_body_bytes.
	entryMaxBody = 2 << 20
)

// startEntry starts medlarslip-entry before a fleet of stand-ins, and returns once it serves.
func startEntry(t *testing.T) *instance {
	t.Helper()
	return startEntryWith(t, memoryMB, nil)
}

// startEntryWith is startEntry with the memory of the machine in its settings, or 0 for no limit, and with
// TLS for callers unless the files are nil.
func startEntryWith(t *testing.T, memoryMB int, files *settings.TLS) *instance {
	t.Helper()
	return startEntryBefore(t, localfleet.New(t), memoryMB, files)
}

// startEntryBefore is startEntryWith before a fleet of stand-ins that the caller has started.
func startEntryBefore(t *testing.T, fleet *localfleet.Fleet, memoryMB int, files *settings.TLS) *instance {
	t.Helper()
	s := fleet.Settings("entry-1", "a")
	s.Limits.MaxConnections, s.Limits.MaxBodyBytes = entryConnections, entryMaxBody
	s.Limits.MemoryMB, s.TLS = memoryMB, files
	// Calls of a process that gets no processor time must not time out: the servers always accept connections, and
	// the process would take them for unreachable.
	s.Limits.ConnectTimeoutMillis = int(testTime.Milliseconds())
	dir := t.TempDir()
	s.Keys.SharedKeyFile = filepath.Join(dir, "shared.key")
	must.NoError(t, os.WriteFile(s.Keys.SharedKeyFile, []byte(base64.StdEncoding.EncodeToString([]byte(localfleet.SharedKey))), 0o600))
	text, err := yaml.Marshal(s)
	must.NoError(t, err)
	path := filepath.Join(dir, "entry.yaml")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	fleet.AddEntry(s)
	i := &instance{front: s.Listen.Callers, relay: s.Listen.Peers, metrics: s.Listen.Metrics}
	scheme := "http://"
	if files != nil {
		scheme = "https://"
	}
	i.ordinary = func() bool { return entryAnswers(scheme+i.front, localfleet.ChatBody(false)) == http.StatusOK }
	i.process, i.exited = startProcess(t, "medlarslip-entry", os.Stderr, "-settings", path)
	i.eventually(t, "instance is not ready", i.ordinary)
	go i.sample()
	return i
}

// entryAnswers sends a chat request to a base URL and returns the status of its response; 0 if there is none.
func entryAnswers(base, body string) int {
	status, _ := entryAnswer(base, body)
	return status
}

// entryAnswer is entryAnswers, and returns the size of the body as well; -1 if it is not whole.
func entryAnswer(base, body string) (status, size int) {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, -1
	}
	request.Header.Set("Authorization", "Bearer "+localfleet.APIKey)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 99, 1)}}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}}}
	response, err := client.Do(request)
	if err != nil {
		return 0, -1
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, -1
	}
	return response.StatusCode, len(content)
}

// Bodies and headers that do not end, and connections that send nothing, must not exhaust medlarslip-entry.
func TestEntry(t *testing.T) {
	large, tiny := unfinishedChunks(entryPost, largeBody, 64<<10), unfinishedChunks(entryPost, smallBody, 16)
	extensions := []client{endlessExtension(entryPost), manyExtensions(entryPost), endlessTrailers(entryPost)}
	declared := []client{declaredLength(entryPost, entryMaxBody, 1), declaredLength(entryPost, entryMaxBody, 900<<10)}
	checkCases(t, startEntry, frontOf, []clientCase{
		{"large chunks", bodyClients, []client{large}},
		{"tiny chunks", bodyClients, []client{tiny}},
		{"extensions and trailers", bodyClients, extensions},
		{"declared length then silence", bodyClients, declared},
		{"endless headers", connectionClients, []client{endlessHeader(entryPost)}},
		{"silent connections", connectionClients, []client{silent}},
		{"mixed", connectionClients, append([]client{large, tiny, endlessHeader(entryPost), silent}, append(extensions, declared...)...)},
	})
}

// Connections that send nothing must not exhaust the descriptors through the listener for
// metrics.
func TestEntryMetricsListener(t *testing.T) {
	i := startEntry(t)
	connectClients(t, i.metrics, connectionClients, all(silent))
	i.checkServes(t)
	i.eventually(t, "metrics are not served", func() bool { return answers(fmt.Sprintf("http://%s/debug/vars", i.metrics)) })
}

// A single request close to the largest body must be served.
func TestEntryLargestBodyWithoutOtherClients(t *testing.T) {
	i := startEntry(t)
	prompt := strings.Repeat("l", entryMaxBody-1000)
	i.eventually(t, "the largest body is not served", func() bool { return entryAnswers("http://"+i.front, localfleet.PromptBody(prompt)) == http.StatusOK })
	i.checkServes(t)
}
