package bearer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/host/bearer"
)

// Guards against calls between hosts that anyone may make.
func TestGuard(t *testing.T) {
	server := httptest.NewServer(bearer.Guard("right", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	for secret, want := range map[string]int{
		"right": http.StatusOK, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized,
	} {
		client := http.Client{Transport: bearer.Transport(secret, http.DefaultTransport)}
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, response.StatusCode, "secret %q", secret)
	}
	response, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusUnauthorized, response.StatusCode, "no secret")
}
