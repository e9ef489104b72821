package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/member"
)

// credential is a caller's key as the host keeps it while the caller is connected: without the secret.
type credential struct {
	id   ident.KeyID
	hash [sha256.Size]byte
}

func parseCredential(password string) credential {
	id, secret, _ := strings.Cut(password, ".")
	return credential{id: ident.KeyID(id), hash: sha256.Sum256([]byte(secret))}
}

// check returns the team of the key, or a Rejection when the key is wrong or withdrawn.
func (k credential) check(view *member.View) (ident.Team, error) {
	entry := view.Keys[k.id]
	var want [sha256.Size]byte
	copy(want[:], entry.GetHash())
	// An unknown id takes the same time as a wrong secret.
	if subtle.ConstantTimeCompare(k.hash[:], want[:]) != 1 || entry == nil {
		return "", &Rejection{Code: "28P01", Message: "the key is not valid", Fatal: true}
	}
	return ident.Team(entry.GetTeam()), nil
}
