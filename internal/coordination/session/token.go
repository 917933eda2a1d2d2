// Package session signs and verifies the tokens that keep a session on its
// version at every instance. A token is a JSON Web Token (RFC 7519) signed with
// HMAC SHA-256. Callers send it with each request; instances store nothing.
package session

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/golang-jwt/jwt/v5"
)

// ErrInvalidToken is the kind of error of a token that is malformed, expired,
// not signed with the key, or of another client account.
var ErrInvalidToken = merry.Sentinel("session token is invalid or too old; leave it out to start a new session")

// Token holds the state of a session.
type Token struct {
	// Account is the client account that the session belongs to.
	Account string `json:"acc"`
	// ID identifies the session; it is the ID of its first request.
	ID string `json:"sid"`
	// Versions maps the name of each model to the version that has answered
	// the session.
	Versions map[string]string `json:"ver"`
}

type claims struct {
	Token
	jwt.RegisteredClaims
}

// Lifetime is how long a token is valid after the last answer of its session.
const Lifetime = 24 * time.Hour

// Signer signs and verifies tokens. It is safe for concurrent use.
type Signer struct {
	key []byte
	now func() time.Time
}

// NewSigner returns a Signer with the key that all instances share.
func NewSigner(key []byte, now func() time.Time) *Signer {
	return &Signer{key: key, now: now}
}

// Sign returns the signed text of a token that is valid for Lifetime.
func (s *Signer) Sign(token Token) (string, error) {
	registered := jwt.RegisteredClaims{ExpiresAt: jwt.NewNumericDate(s.now().Add(Lifetime))}
	text, err := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{Token: token, RegisteredClaims: registered}).SignedString(s.key)
	if err != nil {
		return "", merry.Prepend(err, "sign session token")
	}
	return text, nil
}

// Read verifies the text of a token and returns the token. A token of another
// client account is invalid. The error is of the kind ErrInvalidToken.
func (s *Signer) Read(text, account string) (Token, error) {
	var c claims
	_, err := jwt.ParseWithClaims(text, &c, s.keyOf, jwt.WithValidMethods([]string{"HS256"}), jwt.WithTimeFunc(s.now), jwt.WithExpirationRequired())
	if err != nil {
		return Token{}, merry.Prepend(ErrInvalidToken, err.Error())
	}
	if c.Account != account {
		return Token{}, merry.Prepend(ErrInvalidToken, "it belongs to another client account")
	}
	return c.Token, nil
}

func (s *Signer) keyOf(*jwt.Token) (any, error) { return s.key, nil }
