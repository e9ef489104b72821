package catalog

import (
	"crypto/sha256"
	"encoding/binary"

	"tamarackshunt.dev/fleet/ident"
)

// KeyID identifies a key to other hosts without revealing it; 0 stands for no key.
type KeyID uint64

// NewKeyID returns the id of a key, or 0 for an empty one.
func NewKeyID(key string) KeyID {
	if key == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(key))
	return KeyID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Permit is what allows an operation: the key of its caller, as long as it belongs to the team that the operation runs for.
type Permit struct {
	Team ident.Team
	// Key is 0 if the operation needs no key, since its route is public or it is the host's own.
	Key KeyID
}

// Standing tells whether a configuration still allows what a permit was given for.
type Standing int

// Standings of a permit.
const (
	// StandingHeld means that the team has the key, or that none is needed.
	StandingHeld Standing = iota
	// StandingWithdrawn means that no team has the key.
	StandingWithdrawn
	// StandingMoved means that another team has the key.
	StandingMoved
)

//go:generate enumer -type=Standing -trimprefix=Standing -transform=snake

// Standing returns the standing of a permit in this configuration.
func (c *Catalog) Standing(p Permit) Standing {
	if p.Key == 0 {
		return StandingHeld
	}
	team, found := c.holders[p.Key]
	switch {
	case !found:
		return StandingWithdrawn
	case team != p.Team:
		return StandingMoved
	}
	return StandingHeld
}
