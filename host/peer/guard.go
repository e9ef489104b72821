package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"
)

// bearer precedes the secret in the Authorization header.
const bearer = "Bearer "

// Check returns nil to admit a request by its credentials, or a twirp.Error to refuse it.
type Check func(r *http.Request) error

// certificateKey is the context key of the client certificate of a caller.
type certificateKey struct{}

// Guard passes the requests that a check admits to next. The others are counted and answered with the error of the check.
func Guard(check Check, refused *metrics.Counter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := check(r); err != nil {
			refused.Inc()
			// Closing the connection lets a caller whose certificate has expired reconnect with a renewed one.
			w.Header().Set("Connection", "close")
			_ = twirp.WriteError(w, err)
			return
		}
		if leaf := clientCertificate(r); leaf != nil {
			r = r.WithContext(context.WithValue(r.Context(), certificateKey{}, leaf))
		}
		next.ServeHTTP(w, r)
	})
}

// Secrets returns a Check that admits requests with one of the secrets.
func Secrets(secrets ...string) Check {
	return func(r *http.Request) error {
		if !HasSecret(r, secrets...) {
			return twirp.Unauthenticated.Error("wrong or missing secret")
		}
		return nil
	}
}

// Any returns a Check that admits requests that at least one of the checks admits.
func Any(checks ...Check) Check {
	return func(r *http.Request) error {
		var err error = twirp.Unauthenticated.Error("nothing is admitted")
		for _, check := range checks {
			if err = check(r); err == nil {
				return nil
			}
		}
		return err
	}
}

// Admit is the Check for calls of hosts: they must present the fleet secret and, with TLS, a certificate of the fleet's
// authority. A trusted network admits all calls.
func (n *Network) Admit(r *http.Request) error {
	if n.options.Trusted {
		return nil
	}
	if !HasSecret(r, n.options.Secret) {
		return twirp.Unauthenticated.Error("wrong or missing fleet secret")
	}
	if n.options.Certificates != nil && clientCertificate(r) == nil {
		return twirp.Unauthenticated.Error("a client certificate of the fleet's authority is missing")
	}
	return nil
}

// VerifyControlHost returns a twirp.Error if the caller of a guarded method claims to be a control host of Options.Control but
// its certificate does not have that host's name. Without TLS there is no check beyond the fleet secret.
func (n *Network) VerifyControlHost(ctx context.Context, host string) error {
	if n.options.Certificates == nil || !n.controlHosts[host] {
		return nil
	}
	leaf, found := ctx.Value(certificateKey{}).(*x509.Certificate)
	if !found || leaf.VerifyHostname(host) != nil {
		return twirp.PermissionDenied.Error("the client certificate does not have the name of host " + host)
	}
	return nil
}

// clientCertificate returns the client certificate that the TLS handshake has verified, or nil. Its expiry is checked for each
// request, since a connection may outlive its certificate.
func clientCertificate(r *http.Request) *x509.Certificate {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return nil
	}
	leaf := r.TLS.VerifiedChains[0][0]
	if time.Now().After(leaf.NotAfter) {
		return nil
	}
	return leaf
}

// HasSecret reports whether a request presents one of the secrets. It compares all of them, by hashes of equal length, so that
// the time taken reveals nothing about a secret.
func HasSecret(r *http.Request, secrets ...string) bool {
	presented, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found {
		return false
	}
	presentedHash := sha256.Sum256([]byte(presented))
	matched := 0
	for _, secret := range secrets {
		if secret == "" {
			continue
		}
		secretHash := sha256.Sum256([]byte(secret))
		matched |= subtle.ConstantTimeCompare(presentedHash[:], secretHash[:])
	}
	return matched == 1
}
