package controller

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
)

// maxRequest bounds a request's body in bytes; the largest one holds a text.
const maxRequest = 4 << 20

var unauthenticated = metrics.NewCounter(`tamarack_control_unauthenticated_total`)

// secret is a shared secret that requests show as "Authorization: Bearer".
type secret [sha256.Size]byte

func secretOf(text string) secret {
	return sha256.Sum256([]byte("Bearer " + text))
}

// shown reports whether a request shows one of the secrets. All of them are compared, by hashes of equal length, so that
// the time taken tells nothing about a secret.
func shown(request *http.Request, accepted ...secret) bool {
	got := sha256.Sum256([]byte(request.Header.Get("Authorization")))
	match := 0
	for _, want := range accepted {
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return match == 1
}

// Handler serves the Control service under its twirp path.
func (c *Controller) Handler() http.Handler {
	server := fleetpb.NewControlServer(service{c})
	fleet, operator, announce := secretOf(c.options.Secrets.GetFleet()), secretOf(c.options.Secrets.GetOperator()),
		secretOf(c.options.Secrets.GetAnnounce())
	accepted := map[string][]secret{
		"Sync":        {fleet},
		"Borrow":      {fleet},
		"Announce":    {fleet, announce},
		"Apply":       {operator},
		"GiveKey":     {operator},
		"WithdrawKey": {operator},
		"Status":      {operator},
		"Explain":     {operator},
		"Report":      {operator},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		method := strings.TrimPrefix(request.URL.Path, fleetpb.ControlPathPrefix)
		if !shown(request, accepted[method]...) {
			unauthenticated.Inc()
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong or missing secret"))
			return
		}
		request.Body = http.MaxBytesReader(w, request.Body, maxRequest)
		server.ServeHTTP(w, request)
	})
}
