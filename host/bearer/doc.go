// Package bearer guards calls between processes of the fleet with a shared secret.
package bearer
