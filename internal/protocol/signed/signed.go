// Package signed defines the signed envelope in which a configuration
// document is published. The signature is Ed25519 (RFC 8032).
package signed

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kinds of errors of Verify.
var (
	// ErrUnknownOperator means that there is no valid public key for the operator.
	ErrUnknownOperator = merry.Sentinel("operator is unknown; add its public key to the settings of every instance")
	// ErrBadSignature means that the signature does not match the content.
	ErrBadSignature = merry.Sentinel("signature does not match; sign the document again with the operator's own key")
)

// signingContext is a prefix of the signed bytes that separates these signatures
// from any other use of a key.
const signingContext = "medlarslip configuration v1\n"

// Envelope is one signed configuration document.
type Envelope struct {
	// BaseHash is the hash of the envelope on which this one is based; empty for
	// the first document of a fleet.
	BaseHash string `json:"base_hash"`
	// Number is the number of the document in its fleet: one more than the number
	// of its base.
	Number int64 `json:"number"`
	// Operator is the name of the operator who signed the envelope.
	Operator string `json:"operator"`
	// Reason says why the change was made.
	Reason string `json:"reason"`
	// SignedAt is the operator's wall clock, for information only.
	SignedAt time.Time `json:"signed_at"`
	// Document is the YAML text of the document.
	Document string `json:"document"`
	// Signature covers all other fields.
	Signature []byte `json:"signature"`
}

// OperatorKeys holds the public keys of the operators by name.
type OperatorKeys map[string]ed25519.PublicKey

// Sign fills in the signature of an envelope.
func Sign(e *Envelope, key ed25519.PrivateKey) error {
	message, err := e.signedBytes()
	if err != nil {
		return err
	}
	e.Signature = ed25519.Sign(key, message)
	return nil
}

// Verify checks the operator and the signature of an envelope. The error is of
// the kind ErrUnknownOperator or ErrBadSignature, unless the envelope can't be
// encoded.
func Verify(e *Envelope, keys OperatorKeys) error {
	key, ok := keys[e.Operator]
	if !ok || len(key) != ed25519.PublicKeySize {
		return merry.Prependf(ErrUnknownOperator, "operator %q", e.Operator)
	}
	message, err := e.signedBytes()
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, message, e.Signature) {
		return merry.Prependf(ErrBadSignature, "operator %q", e.Operator)
	}
	return nil
}

// Hash returns the hex SHA-256 hash of an envelope with its signature, which is the
// BaseHash of the next envelope. It returns "" if the envelope can't be encoded.
func (e *Envelope) Hash() string {
	message, err := e.signedBytes()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(append(message, e.Signature...))
	return hex.EncodeToString(sum[:])
}

func (e *Envelope) signedBytes() ([]byte, error) {
	unsigned := *e
	unsigned.Signature = nil
	unsigned.SignedAt = e.SignedAt.UTC()
	body, err := json.Marshal(&unsigned)
	if err != nil {
		return nil, merry.Prepend(err, "encode envelope")
	}
	return append([]byte(signingContext), body...), nil
}
