package peer

import "net/http"

// Headers of messages between hosts.
const (
	contentType     = "Content-Type"
	contentProtobuf = "application/protobuf"
)

// BareHandler serves the calls of networks with Options.Bare: it restores the content type of requests and leaves headers out
// of answers that callers do not read. Most calls between hosts are shorter than their headers.
func BareHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.Header.Get(contentType) == "" {
			r.Header.Set(contentType, contentProtobuf)
		}
		// An entry without values keeps net/http from adding its own.
		w.Header()["Date"] = nil
		next.ServeHTTP(bareWriter{w}, r)
	})
}

// bareWriter leaves the content type out of successful answers; that of failures tells callers how to read them.
type bareWriter struct{ http.ResponseWriter }

// WriteHeader is part of http.ResponseWriter.
func (w bareWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.Header()[contentType] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w bareWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
