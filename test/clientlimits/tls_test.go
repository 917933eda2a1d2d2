package clientlimits_test

import (
	"bufio"
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/standin/localfleet"
)

const (
	// largeHello is the size in bytes of a first message of TLS. Go accepts 64 KiB.
	largeHello = 60 << 10
	// handshakeBytes is how much of a message of the handshake a client sends after the handshake, and
	// declaredHandshake the length that it declares, the largest one that Go accepts.
	handshakeBytes    = 60 << 10
	declaredHandshake = 1 << 16
	// tlsRecord is the largest content of a record.
	tlsRecord = 16 << 10
)

// issueCertificate writes a certificate and its key to files.
func issueCertificate(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	files := &settings.TLS{CertificateFile: filepath.Join(dir, "certificate.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	must.NoError(t, os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	must.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return files
}

// startTLSEntry starts medlarslip-entry with TLS for callers.
func startTLSEntry(t *testing.T) *instance {
	t.Helper()
	return startEntryWith(t, memoryMB, issueCertificate(t))
}

// tlsClient is a connection after its handshake.
type tlsClient struct {
	*tls.Conn
	raw net.Conn
	// secrets is the key log.
	secrets bytes.Buffer
}

// handshake opens a TLS connection whose first message is at least hello bytes long.
func handshake(conn net.Conn, hello int) (*tlsClient, bool) {
	c := &tlsClient{raw: conn}
	protocols := []string{"http/1.1"}
	for n := range hello / 256 {
		protocols = append(protocols, fmt.Sprintf("%0255d", n))
	}
	c.Conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, NextProtos: protocols, KeyLogWriter: &c.secrets})
	return c, c.Handshake() == nil
}

// sendHandshakeBytes sends a part of a message of the handshake, which crypto/tls offers no call for. It must be
// the first that is sent after the handshake, apart from records before it that crypto/tls has sent.
func (c *tlsClient) sendHandshakeBytes(before uint64, size int) bool {
	var text string
	for line := range strings.Lines(c.secrets.String()) {
		if strings.HasPrefix(line, "CLIENT_TRAFFIC_SECRET_0 ") {
			text = strings.Fields(line)[2]
		}
	}
	secret, err := hex.DecodeString(text)
	if err != nil || c.ConnectionState().CipherSuite != tls.TLS_AES_128_GCM_SHA256 {
		panic("no secret of a connection with the cipher suite that is expected")
	}
	expand := func(label string, length int) []byte {
		label = "tls13 " + label
		info := append(binary.BigEndian.AppendUint16(nil, uint16(length)), byte(len(label)))
		key, err := hkdf.Expand(sha256.New, secret, string(append(append(info, label...), 0)), length)
		if err != nil {
			panic(err)
		}
		return key
	}
	block, err := aes.NewCipher(expand("key", 16))
	if err != nil {
		panic(err)
	}
	seal, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	iv := expand("iv", 12)
	message := make([]byte, size)
	// An update of keys (RFC 8446, section 4.6.3).
	copy(message, []byte{24, declaredHandshake >> 16, declaredHandshake >> 8 & 0xff, declaredHandshake & 0xff})
	for sequence := before; len(message) > 0; sequence++ {
		part := message[:min(len(message), tlsRecord)]
		message = message[len(part):]
		header := binary.BigEndian.AppendUint16([]byte{23, 3, 3}, uint16(len(part)+1+seal.Overhead()))
		nonce := bytes.Clone(iv)
		binary.BigEndian.PutUint64(nonce[4:], binary.BigEndian.Uint64(nonce[4:])^sequence)
		// 22 is the type of records of the handshake.
		if _, err := c.raw.Write(seal.Seal(header, nonce, append(bytes.Clone(part), 22), header)); err != nil {
			return false
		}
	}
	return true
}

// tlsIdle sends a request, reads the response, and keeps the connection open.
func tlsIdle(conn net.Conn) {
	c, ok := handshake(conn, largeHello)
	if !ok || !write(c, "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "+localfleet.APIKey+"\r\n\r\n") {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// tlsHandshakeInBody sends a part of a body, and then a message of the handshake that does not end.
func tlsHandshakeInBody(conn net.Conn) {
	c, ok := handshake(conn, 0)
	if ok && write(c, entryPost+"Content-Length: 1000\r\n\r\nb") {
		c.sendHandshakeBytes(1, handshakeBytes)
	}
}

// tlsUnfinishedRecord sends a part of a body, and then the largest record without its last byte. The record before it
// makes the buffer of crypto/tls grow to twice the largest record.
func tlsUnfinishedRecord(conn net.Conn) {
	c, ok := handshake(conn, 0)
	if !ok || !write(c, entryPost+fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody)) || !write(c, strings.Repeat("b", tlsRecord-600)) {
		return
	}
	write(conn, "\x17\x03\x03\x41\x00"+strings.Repeat("r", tlsRecord))
}

// The state that callers' TLS connections make the process hold must not exhaust its memory: large first
// messages, buffers of records, and messages of the handshake after it.
func TestEntryTLS(t *testing.T) {
	kinds := []client{tlsIdle, tlsHandshakeInBody, tlsUnfinishedRecord, helloThenSilence, unfinishedHello}
	checkCases(t, startTLSEntry, frontOf, []clientCase{
		{"idle after a request", connectionClients, kinds[:1]},
		{"handshake message in a body", connectionClients, kinds[1:2]},
		{"unfinished record", connectionClients, kinds[2:3]},
		{"hello then silence", connectionClients, kinds[3:4]},
		{"unfinished hello", connectionClients, kinds[4:]},
		{"mixed", connectionClients, kinds},
	})
}
