package peer

import "net/http"

// Headers of messages between hosts.
const (
	contentType     = "Content-Type"
	contentProtobuf = "application/protobuf"
)

// TrustedHandler serves the calls of networks with Options.Trusted. It restores the content type of requests and omits the
// headers of responses that callers do not read, since most calls between hosts are shorter than their headers.
func TrustedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.Header.Get(contentType) == "" {
			r.Header.Set(contentType, contentProtobuf)
		}
		// An entry without values keeps net/http from adding its own.
		w.Header()["Date"] = nil
		next.ServeHTTP(trustedWriter{w}, r)
	})
}

// trustedWriter omits the content type of successful responses; callers need that of failures to decode them.
type trustedWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w trustedWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.Header()[contentType] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w trustedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
