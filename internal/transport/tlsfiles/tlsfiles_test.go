package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// certificateFiles are the files of a self-signed certificate and its key.
type certificateFiles struct {
	certificateFile, keyFile string
}

// issueCertificate writes a certificate for the IP address to files in dir. It
// sets the modification time of the files, so that a change is detected whatever
// the resolution of the file system's clock.
func issueCertificate(t *testing.T, dir, ip string, serial int64) certificateFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	files := certificateFiles{certificateFile: filepath.Join(dir, "certificate.pem"), keyFile: filepath.Join(dir, "key.pem")}
	writeFile(t, files.certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), serial)
	writeFile(t, files.keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey}), serial)
	return files
}

func writeFile(t *testing.T, path string, text []byte, serial int64) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, text, 0o600))
	changed := time.Unix(1_700_000_000+serial, 0)
	must.NoError(t, os.Chtimes(path, changed, changed))
}

// expireCheckInterval makes the next access check the files for changes.
func expireCheckInterval[T any](w *reloadable[T]) { w.checked = time.Time{} }

// handshake returns the serial number of the certificate that the client
// received.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*tls.Conn).Handshake()
		_ = c.Close()
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestRenewedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	files := issueCertificate(t, dir, "127.0.0.1", 1)
	certificate, err := LoadCertificate(files.certificateFile, files.keyFile)
	must.NoError(t, err)
	authorities, err := LoadAuthorities(files.certificateFile)
	must.NoError(t, err)
	serial, err := handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	must.Eq(t, 1, serial)

	issueCertificate(t, dir, "127.0.0.1", 2)
	expireCheckInterval(certificate.pair)
	_, err = handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.Error(t, err)
	expireCheckInterval(authorities.pool)
	serial, err = handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	must.Eq(t, 2, serial)
}

func TestUnusableChangeKeepsCertificate(t *testing.T) {
	dir := t.TempDir()
	files := issueCertificate(t, dir, "127.0.0.1", 1)
	certificate, err := LoadCertificate(files.certificateFile, files.keyFile)
	must.NoError(t, err)
	authorities, err := LoadAuthorities(files.certificateFile)
	must.NoError(t, err)
	writeFile(t, files.keyFile, []byte("half written"), 2)
	expireCheckInterval(certificate.pair)
	serial, err := handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
	must.Eq(t, 1, serial)
	must.NoError(t, os.Remove(files.keyFile))
	expireCheckInterval(certificate.pair)
	_, err = handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.NoError(t, err)
}

func TestServerOfAnotherAddressOrAuthorityIsRejected(t *testing.T) {
	dir := t.TempDir()
	files := issueCertificate(t, dir, "127.0.0.2", 1)
	certificate, err := LoadCertificate(files.certificateFile, files.keyFile)
	must.NoError(t, err)
	authorities, err := LoadAuthorities(files.certificateFile)
	must.NoError(t, err)
	_, err = handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.Error(t, err)
	other := issueCertificate(t, t.TempDir(), "127.0.0.1", 3)
	certificate, err = LoadCertificate(other.certificateFile, other.keyFile)
	must.NoError(t, err)
	_, err = handshake(t, certificate.ServerConfig(), authorities.ClientConfig("127.0.0.1"))
	must.Error(t, err)
}

func TestUnusableFilesAreRejectedAtLoad(t *testing.T) {
	dir := t.TempDir()
	_, err := LoadCertificate(filepath.Join(dir, "none"), filepath.Join(dir, "none"))
	must.ErrorIs(t, err, ErrUnusable)
	empty := filepath.Join(dir, "empty.pem")
	writeFile(t, empty, nil, 1)
	_, err = LoadAuthorities(empty)
	must.ErrorIs(t, err, ErrUnusable)
}
