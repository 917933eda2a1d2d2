// Package session makes and reads the tokens by which a session keeps its
// version on any instance. A token is a JSON Web Token (RFC 7519) signed with
// HMAC SHA-256; callers carry it, instances keep nothing.
package session

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/golang-jwt/jwt/v5"
)

// ErrInvalidToken is the kind of error of a token that can't be trusted.
var ErrInvalidToken = merry.Sentinel("session token is invalid or too old; leave it out to start a new session")

// Token says what a session keeps.
type Token struct {
	// Account is the client account that the session belongs to.
	Account string `json:"acc"`
	// ID names the session; it is the ID of its first request.
	ID string `json:"sid"`
	// Versions maps the name of each model to the version that the session
	// has met.
	Versions map[string]string `json:"ver"`
}

type claims struct {
	Token
	jwt.RegisteredClaims
}

// Lifetime is how long a token may be used after the last answer.
const Lifetime = 24 * time.Hour

// Signer makes and reads tokens. It is safe for concurrent use.
type Signer struct {
	key []byte
	now func() time.Time
}

// NewSigner returns a signer with the key that all instances share.
func NewSigner(key []byte, now func() time.Time) *Signer {
	return &Signer{key: key, now: now}
}

// Sign returns the text of a token.
func (s *Signer) Sign(token Token) (string, error) {
	registered := jwt.RegisteredClaims{ExpiresAt: jwt.NewNumericDate(s.now().Add(Lifetime))}
	text, err := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{Token: token, RegisteredClaims: registered}).SignedString(s.key)
	if err != nil {
		return "", merry.Prepend(err, "sign session token")
	}
	return text, nil
}

// Read checks the text of a token. A token of another client account is
// invalid. The error is of the kind ErrInvalidToken.
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
