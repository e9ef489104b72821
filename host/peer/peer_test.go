package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/host/peer"
)

// Guards against peer calls being served without the fleet's secret.
func TestGuard(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := httptest.NewServer(peer.Guard(ok, "first-secret-of-fleet", "second-secret-of-fleet"))
	defer server.Close()
	tests := []struct {
		secret string
		status int
	}{
		{"first-secret-of-fleet", http.StatusOK},
		{"second-secret-of-fleet", http.StatusOK},
		{"first-secret-of-flee", http.StatusUnauthorized},
		{"", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		response, err := peer.NewClient(tt.secret, 10*time.Second).Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, tt.status, response.StatusCode, tt.secret)
	}
}
