// Package settings defines the YAML settings with which a process is started.
// Package document defines the configuration that operators change at run time.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/protocol/strictyaml"
)

// ErrUnreadable is the kind of error for a settings or key file that cannot be
// read.
var ErrUnreadable = merry.Sentinel("file cannot be read; check its path and that this user may read it")

// Entry holds the settings of an entry instance.
type Entry struct {
	// Instance names this instance in logs, records and answers.
	Instance string `yaml:"instance"`
	// FailureDomain and Region say where this instance runs.
	FailureDomain string   `yaml:"failure_domain"`
	Region        string   `yaml:"region"`
	Listen        Listen   `yaml:"listen"`
	Platform      Platform `yaml:"platform"`
	Keys          Keys     `yaml:"keys"`
	// TLS is nil if callers and backend servers use plain HTTP.
	TLS    *TLS   `yaml:"tls" optional:"true"`
	Limits Limits `yaml:"limits"`
	Drain  Drain  `yaml:"drain"`
}

// Listen holds the addresses of one instance, each an IP address and port.
type Listen struct {
	// Callers is the address that callers connect to.
	Callers string `yaml:"callers"`
	// Peers is the address that other entry instances connect to.
	Peers string `yaml:"peers"`
	// Metrics is the address of the expvar, health and explain pages.
	Metrics string `yaml:"metrics"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log       string `yaml:"log"`
	Instances string `yaml:"instances"`
	Ratings   string `yaml:"ratings"`
	Weights   string `yaml:"weights"`
}

// Keys holds the key material of one instance.
type Keys struct {
	// SharedKeyFile is the path of a file with 32 random bytes in base64, the
	// same on all entry instances. Session tokens and traffic between peers are
	// authenticated with keys derived from them.
	SharedKeyFile string `yaml:"shared_key_file"`
	// Operators lists the operators that may sign configuration documents.
	Operators []OperatorKey `yaml:"operators"`
}

// OperatorKey is the public key of one operator.
type OperatorKey struct {
	Name string `yaml:"name"`
	// PublicKey is an Ed25519 public key in base64.
	PublicKey string `yaml:"public_key"`
}

// TLS holds the paths of the certificate files, which are reloaded when they
// change.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	// BackendCAFile is the path of the certificates used to verify backend
	// servers; if empty, backend servers are reached by plain HTTP.
	BackendCAFile string `yaml:"backend_ca_file" optional:"true"`
}

// Limits bounds the resources that callers and backend servers can use up at an
// instance.
type Limits struct {
	MaxBodyBytes         int `yaml:"max_body_bytes"`
	MaxHeaderBytes       int `yaml:"max_header_bytes"`
	MaxConnections       int `yaml:"max_connections"`
	MaxConnectionsPerIP  int `yaml:"max_connections_per_ip"`
	StreamIdleMillis     int `yaml:"stream_idle_ms"`
	ConnectTimeoutMillis int `yaml:"connect_timeout_ms"`
	// MemoryMB is the memory of the machine in MiB. 0 sets no bound on the memory that
	// callers make an instance hold.
	MemoryMB int `yaml:"memory_mb"`
}

const (
	// heapShare is the memory limit of the Go runtime as a share of the machine's memory.
	// The rest is for buffers of the kernel and the program itself.
	heapShare = 0.6
	// clientMemoryShare is the share of the machine's memory that callers may make an
	// instance hold, and addressShare the part of it for one address. All callers may share
	// an address.
	clientMemoryShare = 0.3
	addressShare      = 0.75
	// handshakeShare is the number of connections of other instances that are not authenticated yet,
	// as a share of MaxConnections, and minHandshakes its minimum. A handshake takes some
	// milliseconds.
	handshakeShare = 0.125
	minHandshakes  = 16
	// lateRatingShare is the memory of answers that are rated after they were returned, as a share of the
	// machine's memory.
	lateRatingShare = 0.03
	// keyShare is the memory of idempotency keys without their answers as a share of the machine's memory: with
	// 134 MB there is room for 100,000 keys of up to 47 bytes each. maxKeyBytes has room for 100,000 of any size.
	keyShare    = 0.115
	maxKeyBytes = 37 << 20
	// answerShare is the memory of the answers that are kept with idempotency keys, as a share of the machine's
	// memory, and logPageShare that of a page of the log in which they are read.
	answerShare  = 0.01
	logPageShare = 0.01
	// ownBytes of the heap are for the process itself.
	ownBytes = 16 << 20
	// minBillShare is the memory of bills while the log takes none, as a share of the machine's memory: of an
	// instance's own ones, for which ownBillShare of it is, and of copies. They may occupy all of the heap that
	// remains beside the other shares, if that is more.
	minBillShare = 0.015
	ownBillShare = 3.0 / 7
	// bodyCopies is how often the largest body is in memory while it is read and handled.
	bodyCopies = 4
)

// HeapBytes returns the memory limit of the Go runtime; 0 sets none.
func (l Limits) HeapBytes() int64 { return l.memoryShare(heapShare) }

// ClientBytes returns how much memory callers, and those of one address, may make an instance
// hold; 0 sets no bound.
func (l Limits) ClientBytes() (all, address int64) {
	return l.memoryShare(clientMemoryShare), l.memoryShare(clientMemoryShare * addressShare)
}

// LateRatingBytes returns how much memory answers may occupy that are rated after they were returned; 0 sets no
// bound.
func (l Limits) LateRatingBytes() int64 { return l.memoryShare(lateRatingShare) }

// KeyBytes returns how much memory idempotency keys without their answers may occupy; 0 sets no bound.
func (l Limits) KeyBytes() int64 { return min(l.memoryShare(keyShare), maxKeyBytes) }

// AnswerBytes returns how much memory the answers that are kept with idempotency keys may occupy; 0 sets no bound.
func (l Limits) AnswerBytes() int64 { return l.memoryShare(answerShare) }

// LogPageBytes returns how much memory a page of the log with such answers may occupy; 0 sets no bound.
func (l Limits) LogPageBytes() int64 { return l.memoryShare(logPageShare) }

// BillBytes returns how much memory the bills of an instance, and copies of those of others, may occupy while the log
// takes none; 0 sets no bound.
func (l Limits) BillBytes() (own, copies int64) {
	callers, _ := l.ClientBytes()
	rest := l.HeapBytes() - callers - l.LateRatingBytes() - l.KeyBytes() - l.AnswerBytes() - l.LogPageBytes() - ownBytes
	all := max(rest, l.memoryShare(minBillShare))
	own = int64(ownBillShare * float64(all))
	return own, all - own
}

// MaxHandshakes returns the maximum number of connections to the listener for peers that are not
// authenticated yet.
func (l Limits) MaxHandshakes() int {
	return max(int(handshakeShare*float64(l.MaxConnections)), minHandshakes)
}

func (l Limits) memoryShare(share float64) int64 {
	return int64(share * float64(l.MemoryMB) * (1 << 20))
}

// StreamIdle returns the longest time without data on a stream.
func (l Limits) StreamIdle() time.Duration { return millis(l.StreamIdleMillis) }

// ConnectTimeout returns the timeout for establishing a connection.
func (l Limits) ConnectTimeout() time.Duration { return millis(l.ConnectTimeoutMillis) }

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// EntriesTTLMillis is the time for which callers may cache an entries answer,
	// in milliseconds.
	EntriesTTLMillis int `yaml:"entries_ttl_ms"`
	// LongestRequestMillis is the longest wait for requests in flight, in
	// milliseconds.
	LongestRequestMillis int `yaml:"longest_request_ms"`
}

// EntriesTTL returns the time for which callers may cache an entries answer.
func (d Drain) EntriesTTL() time.Duration { return millis(d.EntriesTTLMillis) }

// LongestRequest returns the longest wait for requests in flight at a graceful
// shutdown.
func (d Drain) LongestRequest() time.Duration { return millis(d.LongestRequestMillis) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// LoadEntry reads and validates the settings of an entry instance. The error is of
// the kind ErrUnreadable or a strictyaml.FieldErrors.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrUnreadable, err.Error())
	}
	return ParseEntry(text)
}

// ParseEntry decodes and validates the settings of an entry instance. The error
// is a strictyaml.FieldErrors.
func ParseEntry(text []byte) (*Entry, error) {
	var s Entry
	if err := strictyaml.Decode(text, &s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Upper bounds of the numbers in settings.
const (
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 1 << 20
	maxConnections = 1 << 20
	maxMillis      = 60 * 60 * 1000
	maxMemoryMB    = 1 << 20
)

// Validate returns nil or a strictyaml.FieldErrors that lists all errors.
func (s *Entry) Validate() error {
	c := &checker{}
	c.nonEmpty("instance", s.Instance)
	c.nonEmpty("failure_domain", s.FailureDomain)
	c.nonEmpty("region", s.Region)
	c.nonEmpty("keys.shared_key_file", s.Keys.SharedKeyFile)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.metrics", s.Listen.Metrics)
	s.Platform.validate(c)
	c.operators("keys.operators", s.Keys.Operators)
	c.inRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, 1, maxBodyBytes)
	c.inRange("limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1024, maxHeaderBytes)
	c.inRange("limits.max_connections", s.Limits.MaxConnections, 1, maxConnections)
	c.inRange("limits.max_connections_per_ip", s.Limits.MaxConnectionsPerIP, 1, maxConnections)
	c.inRange("limits.stream_idle_ms", s.Limits.StreamIdleMillis, 1, maxMillis)
	c.inRange("limits.connect_timeout_ms", s.Limits.ConnectTimeoutMillis, 1, maxMillis)
	c.inRange("limits.memory_mb", s.Limits.MemoryMB, 0, maxMemoryMB)
	if _, address := s.Limits.ClientBytes(); address > 0 {
		c.inRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, 1, int(address/bodyCopies))
	}
	c.inRange("drain.entries_ttl_ms", s.Drain.EntriesTTLMillis, 1, maxMillis)
	c.inRange("drain.longest_request_ms", s.Drain.LongestRequestMillis, 1, maxMillis)
	return c.result()
}

func (p Platform) validate(c *checker) {
	c.address("platform.log", p.Log)
	c.address("platform.instances", p.Instances)
	c.address("platform.ratings", p.Ratings)
	c.address("platform.weights", p.Weights)
}

// PublicKeys returns the public keys of the operators by name. It fails if one is
// not an Ed25519 key in base64.
func (k Keys) PublicKeys() (signed.OperatorKeys, error) {
	keys := signed.OperatorKeys{}
	for _, operator := range k.Operators {
		key, err := base64.StdEncoding.DecodeString(operator.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, merry.Errorf("public key of operator %q is no Ed25519 key in base64; make one with medlarslip-config keygen", operator.Name)
		}
		keys[operator.Name] = key
	}
	return keys, nil
}

// checker collects the errors of the settings.
type checker struct {
	errs strictyaml.FieldErrors
}

func (c *checker) fail(field, problem, remedy string) {
	c.errs = append(c.errs, strictyaml.FieldError{Field: field, Problem: problem, Remedy: remedy})
}

func (c *checker) result() error {
	if len(c.errs) == 0 {
		return nil
	}
	return c.errs
}

func (c *checker) nonEmpty(field, value string) {
	if value == "" {
		c.fail(field, "is empty", "give it a value")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(field, fmt.Sprintf("%q is no IP number and port", value), "write it like 10.0.0.7:8100")
	}
}

func (c *checker) inRange(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, fmt.Sprintf("is %d", value), fmt.Sprintf("use a number from %d to %d", low, high))
	}
}

func (c *checker) operators(field string, operators []OperatorKey) {
	if len(operators) == 0 {
		c.fail(field, "is empty", "list the name and public key of at least one operator")
	}
	seen := map[string]bool{}
	for i, operator := range operators {
		if operator.Name == "" || seen[operator.Name] {
			c.fail(fmt.Sprintf("%s[%d].name", field, i), "is empty or given twice", "give each operator a name of their own")
		}
		seen[operator.Name] = true
	}
	if _, err := (Keys{Operators: operators}).PublicKeys(); err != nil {
		c.fail(field, err.Error(), "paste the key that medlarslip-config keygen printed")
	}
}
