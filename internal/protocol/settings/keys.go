package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	sharedKeyBytes = 32
	// groupAndOthers are the permission bits that must not be set on a key file.
	groupAndOthers = 0o077
)

// ErrBadKey is the kind of error for a key file with invalid content, or with
// permissions for the group or others.
var ErrBadKey = merry.Sentinel("key file is not usable; make it with medlarslip-config keygen or shared-key, and chmod 600 it")

// LoadSharedKey reads the key that all entry instances share. The error is of the
// kind ErrUnreadable or ErrBadKey.
func LoadSharedKey(path string) ([]byte, error) {
	return loadSecret(path, sharedKeyBytes)
}

// LoadOperatorKey reads the private key of an operator. The error is of the kind
// ErrUnreadable or ErrBadKey.
func LoadOperatorKey(path string) (ed25519.PrivateKey, error) {
	seed, err := loadSecret(path, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func loadSecret(path string, size int) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, merry.Prepend(ErrUnreadable, err.Error())
	}
	if info.Mode().Perm()&groupAndOthers != 0 {
		return nil, merry.Prependf(ErrBadKey, "%s can be read by others", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrUnreadable, err.Error())
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(secret) != size {
		return nil, merry.Prependf(ErrBadKey, "%s does not hold %d bytes in base64", path, size)
	}
	return secret, nil
}

// WriteSecret writes a secret in base64 to a new file that only its owner can
// access. It fails if the file exists.
func WriteSecret(path string, secret []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return merry.Prepend(err, "write key file")
	}
	if _, err := file.WriteString(base64.StdEncoding.EncodeToString(secret) + "\n"); err != nil {
		_ = file.Close()
		return merry.Prepend(err, "write key file")
	}
	return file.Close()
}
