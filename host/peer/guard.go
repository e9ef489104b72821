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

// bearer comes before the secret in the Authorization header.
const bearer = "Bearer "

// Check decides on a request by what it shows; an error is a twirp.Error and refuses it.
type Check func(r *http.Request) error

// certificateKey is the context key of the certificate that a caller has shown.
type certificateKey struct{}

// Guard passes on the requests that a check admits; others are counted, get the check's error and reach nothing.
func Guard(check Check, refused *metrics.Counter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := check(r); err != nil {
			refused.Inc()
			// A caller whose certificate has expired gets in again by a new connection, once it has a new one.
			w.Header().Set("Connection", "close")
			_ = twirp.WriteError(w, err)
			return
		}
		if shown := shownCertificate(r); shown != nil {
			r = r.WithContext(context.WithValue(r.Context(), certificateKey{}, shown))
		}
		next.ServeHTTP(w, r)
	})
}

// Secrets admits requests that show one of the secrets.
func Secrets(secrets ...string) Check {
	return func(r *http.Request) error {
		if !Shows(r, secrets...) {
			return twirp.Unauthenticated.Error("wrong or missing secret")
		}
		return nil
	}
}

// Any admits requests that one of the checks admits.
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

// Admit is the check for calls of hosts: they show the fleet secret and, with TLS, a certificate of the fleet's authority. A
// trusted network admits all.
func (n *Network) Admit(r *http.Request) error {
	if n.options.Trusted {
		return nil
	}
	if !Shows(r, n.options.Secret) {
		return twirp.Unauthenticated.Error("wrong or missing fleet secret")
	}
	if n.options.Certificates != nil && shownCertificate(r) == nil {
		return twirp.Unauthenticated.Error("a client certificate of the fleet's authority is missing")
	}
	return nil
}

// VerifyControlHost returns a twirp.Error when the caller of a guarded method says that it is a control host of the settings,
// and its certificate does not have that host's name. Without TLS the fleet secret has to do.
func (n *Network) VerifyControlHost(ctx context.Context, host string) error {
	if n.options.Certificates == nil || !n.named[host] {
		return nil
	}
	shown, found := ctx.Value(certificateKey{}).(*x509.Certificate)
	if !found || shown.VerifyHostname(host) != nil {
		return twirp.PermissionDenied.Error("the client certificate does not have the name of host " + host)
	}
	return nil
}

// shownCertificate returns the client certificate, which the TLS handshake has verified, or nil. A connection may outlive
// the certificate that it began with, so its end is checked for each request.
func shownCertificate(r *http.Request) *x509.Certificate {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return nil
	}
	leaf := r.TLS.VerifiedChains[0][0]
	if time.Now().After(leaf.NotAfter) {
		return nil
	}
	return leaf
}

// Shows reports whether a request shows one of the secrets. All of them are compared, by hashes of equal length, so that
// the time taken tells nothing about a secret.
func Shows(r *http.Request, secrets ...string) bool {
	shown, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found {
		return false
	}
	got := sha256.Sum256([]byte(shown))
	matched := 0
	for _, secret := range secrets {
		if secret == "" {
			continue
		}
		want := sha256.Sum256([]byte(secret))
		matched |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return matched == 1
}
