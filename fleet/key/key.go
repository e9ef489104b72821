package key

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
)

// Sizes of a key's parts.
const (
	idBytes     = 8
	secretBytes = 32 // 256 random bits cannot be guessed, so a plain hash without salt or stretching is enough
)

var encoding = base64.RawURLEncoding

// idPattern matches the id, which is the public part of a key.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Key is a caller's key. Formatting it with any verb shows only its id.
type Key struct {
	ID ident.KeyID
	// secret is a closure, since fmt prints the bytes of any other type when a struct holds a Key in an unexported
	// field.
	secret func() []byte
}

// Hash is the SHA-256 of a key's secret.
type Hash [sha256.Size]byte

// FormError reports a key that does not have the form id.secret. It contains nothing of the input.
type FormError struct {
	Want string
}

// Error returns the expected form.
func (e *FormError) Error() string {
	return "not a key: expected " + e.Want
}

// Generate generates a key from random, a source of random bytes such as crypto/rand.Reader.
func Generate(random io.Reader) (Key, error) {
	id := make([]byte, idBytes)
	if _, err := io.ReadFull(random, id); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes for a key id")
	}
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes for a secret")
	}
	return newKey(ident.KeyID(hex.EncodeToString(id)), secret), nil
}

// Parse parses a key of the form id.secret, or returns a FormError.
func Parse(plaintext string) (Key, error) {
	id, secret, found := strings.Cut(plaintext, ".")
	if !found {
		return Key{}, trace.Wrap(&FormError{Want: "id.secret"})
	}
	if !idPattern.MatchString(id) {
		return Key{}, trace.Wrap(&FormError{Want: "an id of 1 to 64 letters, digits, - and _"})
	}
	raw, err := encoding.Strict().DecodeString(secret)
	// The decoder skips line breaks, so the length of the text is checked too.
	if err != nil || len(raw) != secretBytes || len(secret) != encoding.EncodedLen(secretBytes) {
		return Key{}, trace.Wrap(&FormError{Want: fmt.Sprintf("a secret of %d bytes in URL-safe base64", secretBytes)})
	}
	return newKey(ident.KeyID(id), raw), nil
}

// ValidID reports whether id has the form of a key's id.
func ValidID(id ident.KeyID) bool {
	return idPattern.MatchString(string(id))
}

// Plaintext returns the form id.secret that a caller presents. Only the command that issues keys shows it, once.
func (k Key) Plaintext() string {
	return string(k.ID) + "." + encoding.EncodeToString(k.bytes())
}

// Hash returns the SHA-256 of the secret. The fleet stores nothing else of the secret.
func (k Key) Hash() Hash {
	return sha256.Sum256(k.bytes())
}

// String returns the id, without the secret.
func (k Key) String() string {
	return string(k.ID) + ".(secret)"
}

// Format writes String for every verb, since verbs such as %d would print the fields.
func (k Key) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, k.String())
}

func (k Key) bytes() []byte {
	if k.secret == nil {
		return nil
	}
	return k.secret()
}

func newKey(id ident.KeyID, secret []byte) Key {
	return Key{ID: id, secret: func() []byte { return secret }}
}
