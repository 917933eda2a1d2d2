// Package tlsfiles loads certificates from files and reloads them when they
// change, so that a certificate can be renewed without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// ErrUnusable is the kind of the error of files that can't be loaded.
var ErrUnusable = merry.Sentinel("certificate files can't be used; check that they are readable, in PEM, and that key and certificate match")

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

var reloadFailures = expvar.NewInt("tls_reload_failures")

// reloadable is a value that is loaded from files, and loaded again when they
// change.
type reloadable[T any] struct {
	paths []string
	load  func() (T, error)
	now   func() time.Time

	mu       sync.Mutex
	value    T
	modified time.Time
	checked  time.Time
	failing  bool
}

func newReloadable[T any](now func() time.Time, load func() (T, error), paths ...string) (*reloadable[T], error) {
	w := &reloadable[T]{paths: paths, load: load, now: now}
	modified, err := w.lastModified()
	if err != nil {
		return nil, merry.Prepend(ErrUnusable, err.Error())
	}
	value, err := load()
	if err != nil {
		return nil, merry.Prepend(ErrUnusable, err.Error())
	}
	w.value, w.modified, w.checked = value, modified, now()
	return w, nil
}

func (w *reloadable[T]) lastModified() (time.Time, error) {
	var last time.Time
	for _, path := range w.paths {
		info, err := os.Stat(path)
		if err != nil {
			return last, err
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

// get returns the latest value that could be loaded. While the files are
// unusable, for example partly written, the previous value stays in use.
func (w *reloadable[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now().Sub(w.checked) < checkInterval {
		return w.value
	}
	w.checked = w.now()
	modified, err := w.lastModified()
	if err == nil && modified.Equal(w.modified) {
		return w.value
	}
	value, loadErr := w.load()
	if err != nil || loadErr != nil {
		w.recordFailure()
		return w.value
	}
	w.value, w.modified, w.failing = value, modified, false
	logrus.WithField("files", w.paths).Info("certificate files reloaded")
	return w.value
}

func (w *reloadable[T]) recordFailure() {
	reloadFailures.Add(1)
	if !w.failing {
		logrus.WithField("files", w.paths).Warn("changed certificate files can't be loaded; the previous ones stay in use")
	}
	w.failing = true
}

// Certificate is a server certificate with its key.
type Certificate struct {
	pair *reloadable[*tls.Certificate]
}

// LoadCertificate reads a certificate and its key. The error is of the kind
// ErrUnusable.
func LoadCertificate(certificateFile, keyFile string) (*Certificate, error) {
	load := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
		return &pair, err
	}
	pair, err := newReloadable(time.Now, load, certificateFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &Certificate{pair: pair}, nil
}

// ServerConfig returns the configuration of a TLS server with the latest
// certificate.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.get(), nil },
	}
}

// Authorities are the certificate authorities that servers are verified against.
type Authorities struct {
	pool *reloadable[*x509.CertPool]
}

// LoadAuthorities reads certificates in PEM. The error is of the kind
// ErrUnusable.
func LoadAuthorities(path string) (*Authorities, error) {
	load := func() (*x509.CertPool, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, merry.New(path + " holds no certificate in PEM")
		}
		return pool, nil
	}
	pool, err := newReloadable(time.Now, load, path)
	if err != nil {
		return nil, err
	}
	return &Authorities{pool: pool}, nil
}

// ClientConfig returns the configuration of a TLS client that verifies the
// server at an IP address against the latest authorities.
func (a *Authorities) ClientConfig(ip string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		ServerName: ip,
		// The built-in verification uses a fixed set of authorities. VerifyConnection
		// does the same verification with the latest set.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return a.verify(state, ip) },
	}
}

// verify receives the IP address as a parameter, since the state of a connection
// has no server name if the server is addressed by an IP address.
func (a *Authorities) verify(state tls.ConnectionState, ip string) error {
	opts := x509.VerifyOptions{
		Roots:         a.pool.get(),
		DNSName:       ip,
		Intermediates: x509.NewCertPool(),
	}
	for _, certificate := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}
