package clientlimits_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"
)

const (
	// bodyClients is the number of clients of the tests whose clients make the process hold
	// memory. The descriptors suffice for it.
	bodyClients = 300
	// connectionClients is the number of clients of the tests whose clients make the process
	// hold connections: more than it has descriptors for.
	connectionClients = 500
	// largeBody and smallBody are the bytes that a client sends in large and in tiny chunks.
	largeBody = 1 << 20
	smallBody = 200 << 10
)

// The process must not exhaust its memory by bodies that arrive in large chunks and do not end.
func TestLargeChunks(t *testing.T) {
	i := startInstance(t)
	connectClients(t, i.front, bodyClients, all(unfinishedChunks(platformPost, largeBody, 64<<10)))
	i.checkServes(t)
}

// Nor by tiny chunks, where the growth of a buffer exceeds what has arrived.
func TestTinyChunks(t *testing.T) {
	i := startInstance(t)
	connectClients(t, i.front, bodyClients, all(unfinishedChunks(platformPost, smallBody, 16)))
	i.checkServes(t)
}

// Extensions and trailers of chunked bodies must not be held.
func TestEndlessExtensionsAndTrailers(t *testing.T) {
	i := startInstance(t)
	kinds := []client{endlessExtension(platformPost), manyExtensions(platformPost), endlessTrailers(platformPost)}
	connectClients(t, i.front, bodyClients, mixed(kinds...))
	i.checkServes(t)
}

// A declared length must not reserve memory before the bytes arrive.
func TestDeclaredLengthThenSilence(t *testing.T) {
	i := startInstance(t)
	kinds := []client{declaredLength(platformPost, maxBody, 1), declaredLength(platformPost, maxBody, 900<<10)}
	connectClients(t, i.front, bodyClients, mixed(kinds...))
	i.checkServes(t)
}

// Headers that do not end must not occupy all connections, nor exhaust memory.
func TestEndlessHeaders(t *testing.T) {
	i := startInstance(t)
	connectClients(t, i.front, connectionClients, all(endlessHeader(platformPost)))
	i.checkServes(t)
}

// Streams and large bodies that are not read must not exhaust memory.
func TestResponsesThatAreNotRead(t *testing.T) {
	i := startInstance(t)
	kinds := []client{unreadResponses("/lookups/large", "", 4), unreadResponses("/drafts/large", streamHeader, 1)}
	connectClients(t, i.front, bodyClients, mixed(kinds...))
	i.checkServes(t)
}

// Connections that send nothing must not keep ordinary clients from connecting.
func TestSilentConnections(t *testing.T) {
	i := startInstance(t)
	connectClients(t, i.front, connectionClients, all(silent))
	i.checkServes(t)
}

// The other listeners must not exhaust the descriptors of the process either.
func TestSilentConnectionsAtOtherListeners(t *testing.T) {
	i := startInstance(t)
	for _, address := range []string{i.directory, i.ready, i.metrics, i.relay} {
		connectClients(t, address, connectionClients/2, all(silent))
	}
	i.checkServes(t)
	i.eventually(t, "the directory does not answer", func() bool {
		return answers("http://" + i.directory + "/api/resolve?name=records.example&region=r&zone=a")
	})
	i.eventually(t, "the instance does not say that it is ready", func() bool { return answers("http://" + i.ready + "/api/readiness") })
	i.eventually(t, "metrics are not served", func() bool { return answers("http://" + i.metrics + "/metrics") })
}

func answers(url string) bool {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// The process must bound its memory and descriptors for all kinds of clients together, too.
func TestMixedClients(t *testing.T) {
	i := startInstance(t)
	kinds := []client{
		unfinishedChunks(platformPost, largeBody, 64<<10), unfinishedChunks(platformPost, smallBody, 16), endlessExtension(platformPost), manyExtensions(platformPost), endlessTrailers(platformPost),
		declaredLength(platformPost, maxBody, 1), declaredLength(platformPost, maxBody, 900<<10), endlessHeader(platformPost), unreadResponses("/lookups/large", "", 4),
		unreadResponses("/drafts/large", streamHeader, 1), silent,
	}
	connectClients(t, i.front, connectionClients, mixed(kinds...))
	i.checkServes(t)
}

// The limits must not refuse a single request with the largest body that the configuration
// allows.
func TestLargestBodyWithoutOtherClients(t *testing.T) {
	i := startInstance(t)
	body := bytes.Repeat([]byte("l"), maxBody)
	for range 3 {
		if status := i.ordinaryRequest(body); status != http.StatusOK {
			t.Errorf("the request was answered with status %d", status)
		}
	}
	i.checkServes(t)
}
