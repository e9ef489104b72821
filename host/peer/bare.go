package peer

import "net/http"

// Headers of messages between hosts.
const (
	contentType     = "Content-Type"
	contentProtobuf = "application/protobuf"
)

// TrustedHandler serves the calls of networks with Options.Trusted: it restores the content type of requests and leaves
// headers out of answers that callers do not read. Most calls between hosts are shorter than their headers.
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

// trustedWriter leaves the content type out of successful answers; that of failures tells callers how to read them.
type trustedWriter struct{ http.ResponseWriter }

// WriteHeader is part of http.ResponseWriter.
func (w trustedWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.Header()[contentType] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w trustedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
