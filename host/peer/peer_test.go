package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/host/peer"
)

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// Guards against calls that are served without one of the secrets, and against a client that does not send its secret.
func TestGuard(t *testing.T) {
	refused := &metrics.Counter{}
	server := httptest.NewServer(peer.Guard(peer.Secrets("first-secret-of-fleet", "second-secret-of-fleet", ""), refused, ok))
	defer server.Close()
	tests := []struct {
		header string
		status int
	}{
		{"Bearer first-secret-of-fleet", http.StatusOK},
		{"Bearer second-secret-of-fleet", http.StatusOK},
		{"Bearer first-secret-of-flee", http.StatusUnauthorized},
		{"Bearer ", http.StatusUnauthorized},
		{"first-secret-of-fleet", http.StatusUnauthorized},
		{"", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
		require.NoError(t, err)
		if tt.header != "" {
			request.Header.Set("Authorization", tt.header)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, tt.status, response.StatusCode, tt.header)
	}
	require.EqualValues(t, 4, refused.Get())

	network := peer.New(peer.Options{Secret: "second-secret-of-fleet"})
	defer network.Close()
	response, err := network.Client(10 * time.Second).Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode, "the client of a network sends its secret")
}
