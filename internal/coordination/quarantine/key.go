package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a prompt part at a service, or a request with all its repeats.
type Key uint64

// PartOf returns the key of the prompt part with an ID at a service.
func PartOf(service, id string) Key { return Key(xxhash.Sum64String(service + "\x00" + id)) }

// RequestOf returns the key of a request. It is the same for all requests of a client
// account with the same method, host, target and body.
func RequestOf(account, method, host, target string, body ...[]byte) Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{account, method, host, target} {
		// Writing to a digest does not fail.
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = digest.Write(part)
	}
	return Key(digest.Sum64())
}

// String returns the key in hexadecimal, as logs and the store have it.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// ParseKey parses the text of a key.
func ParseKey(text string) (Key, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Key(value), err
}

// Request holds the keys of one request.
type Request struct {
	// Key is the key of the request itself, and ID the one of the client's call, which
	// is another with each repeat.
	Key Key
	ID  string
	// Parts are the keys of the prompt parts that other requests may share.
	Parts []Key
}

// Kind says what a key identifies.
type Kind int

// Kinds of keys.
const (
	PromptPart Kind = iota
	WholeRequest
)

// String returns the kind as logs have it.
func (k Kind) String() string {
	if k == WholeRequest {
		return "request"
	}
	return "prompt_part"
}
