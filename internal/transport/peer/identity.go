// Package peer carries calls between entry instances as JSON-RPC 2.0 over TLS
// 1.3. Each side authenticates itself by a certificate that only a holder of the
// key shared by all entry instances can issue.
package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	fleetName           = "medlarslip fleet"
	keyDerivationInfo   = "medlarslip peer authority v1"
	certificateLifetime = 10 * 365 * 24 * time.Hour
	// clockSkew is the maximum difference between the clocks of two instances.
	clockSkew = 24 * time.Hour
)

// Identity authenticates an instance as a member of the fleet. Every instance
// derives the same certificate authority from the shared key by HKDF (RFC
// 5869), and issues itself a certificate that exists only in its memory.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewIdentity returns the identity of the named instance.
func NewIdentity(sharedKey []byte, instance string) (*Identity, error) {
	seed, err := hkdf.Key(sha256.New, sharedKey, nil, keyDerivationInfo, ed25519.SeedSize)
	if err != nil {
		return nil, merry.Prepend(err, "derive the key of the fleet")
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := newAuthority(authorityKey)
	if err != nil {
		return nil, err
	}
	leaf, err := newLeaf(instance, authority, authorityKey)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &Identity{certificate: *leaf, authority: pool}, nil
}

func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: fleetName},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, merry.Prepend(err, "create the certificate authority of the fleet")
	}
	return x509.ParseCertificate(raw)
}

func newLeaf(instance string, authority *x509.Certificate, authorityKey ed25519.PrivateKey) (*tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate the key of this instance")
	}
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, merry.Prepend(err, "create the certificate of this instance")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: instance},
		DNSNames:     []string{fleetName},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return nil, merry.Prepend(err, "create the certificate of this instance")
	}
	return &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}, nil
}

func (i *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authority,
	}
}

func (i *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authority,
		ServerName:   fleetName,
	}
}
