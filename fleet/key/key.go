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
	secretBytes = 32 // 256 random bits cannot be guessed, so a plain hash without salt or stretching suffices
)

var encoding = base64.RawURLEncoding

// idForm matches the public part of a key.
var idForm = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Key is a caller's key; formatting it with any verb shows only its id.
type Key struct {
	ID ident.KeyID
	// A closure, since fmt prints the bytes of any other type when a struct holds a Key in an unexported field.
	secret func() []byte
}

// Hash is the SHA-256 of a key's secret.
type Hash [sha256.Size]byte

// FormError reports a key that is not of the form id.secret; it holds nothing of what was given.
type FormError struct {
	Want string
}

// Error says what form was expected.
func (e *FormError) Error() string {
	return "not a key: expected " + e.Want
}

// Generate makes a key from random, a source of random bytes such as crypto/rand.Reader.
func Generate(random io.Reader) (Key, error) {
	id := make([]byte, idBytes)
	if _, err := io.ReadFull(random, id); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes for a key id")
	}
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes for a secret")
	}
	return hold(ident.KeyID(hex.EncodeToString(id)), secret), nil
}

// Parse reads the written form id.secret, or returns a FormError.
func Parse(written string) (Key, error) {
	id, secret, found := strings.Cut(written, ".")
	if !found {
		return Key{}, trace.Wrap(&FormError{Want: "id.secret"})
	}
	if !idForm.MatchString(id) {
		return Key{}, trace.Wrap(&FormError{Want: "an id of 1 to 64 letters, digits, - and _"})
	}
	raw, err := encoding.Strict().DecodeString(secret)
	// The decoder skips line breaks, so the length of the text is checked too.
	if err != nil || len(raw) != secretBytes || len(secret) != encoding.EncodedLen(secretBytes) {
		return Key{}, trace.Wrap(&FormError{Want: fmt.Sprintf("a secret of %d bytes in URL-safe base64", secretBytes)})
	}
	return hold(ident.KeyID(id), raw), nil
}

// ValidID reports whether id has the form of a key's public part.
func ValidID(id ident.KeyID) bool {
	return idForm.MatchString(string(id))
}

// Plaintext returns the form id.secret that a caller presents; only the command that gives keys shows it, once.
func (k Key) Plaintext() string {
	return string(k.ID) + "." + encoding.EncodeToString(k.bytes())
}

// Hash returns the SHA-256 of the secret, which is all that the fleet keeps of it.
func (k Key) Hash() Hash {
	return sha256.Sum256(k.bytes())
}

// String returns the id with the secret left out.
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

func hold(id ident.KeyID, secret []byte) Key {
	return Key{ID: id, secret: func() []byte { return secret }}
}
