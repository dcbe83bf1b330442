package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	tokenPrefix  = "pt"
	idLength     = 6  // bytes
	secretLength = 32 // bytes
)

// TokenID identifies a token. It is not secret.
type TokenID string

func (id TokenID) valid() bool {
	data, err := hex.DecodeString(string(id))
	return err == nil && len(data) == idLength && strings.ToLower(string(id)) == string(id)
}

// Hash is the SHA-256 of a token.
type Hash [sha256.Size]byte

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(h) {
		return errors.Newf("a hash is %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], data)
	return nil
}

// Token is a bearer token: an id and a secret.
type Token struct {
	ID     TokenID
	secret [secretLength]byte
}

// NewToken returns a random token.
func NewToken() Token {
	var id [idLength]byte
	_, _ = rand.Read(id[:]) // never fails
	t := Token{ID: TokenID(hex.EncodeToString(id[:]))}
	_, _ = rand.Read(t.secret[:]) // never fails
	return t
}

// ParseToken reads the text form of a token.
func ParseToken(text string) (Token, error) {
	parts := strings.SplitN(text, "_", 3)
	if len(parts) != 3 || parts[0] != tokenPrefix || !TokenID(parts[1]).valid() {
		return Token{}, errors.Newf("a token is %s_<id>_<secret>", tokenPrefix)
	}
	secret, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil || len(secret) != secretLength {
		return Token{}, errors.Newf("the secret of a token is %d bytes in base64url", secretLength)
	}
	t := Token{ID: TokenID(parts[1])}
	copy(t.secret[:], secret)
	return t, nil
}

// Reveal returns the text form of the token, with its secret.
func (t Token) Reveal() string {
	return strings.Join([]string{tokenPrefix, string(t.ID), base64.RawURLEncoding.EncodeToString(t.secret[:])}, "_")
}

// String returns the token's prefix and id, without its secret.
func (t Token) String() string { return tokenPrefix + "_" + string(t.ID) }

// Hash returns the hash of the token's text form, which is stored in its Record.
func (t Token) Hash() Hash { return sha256.Sum256([]byte(t.Reveal())) }
