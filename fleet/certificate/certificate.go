package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Files names the PEM files of one identity. Certificate and Key are both set or both empty. Authority is empty for a
// process that verifies no certificates.
type Files struct {
	Certificate string
	Key         string
	Authority   string
	// Name is a DNS name that the certificate must contain; empty means that no name is required.
	Name string
}

// Error reports a file that cannot be used.
type Error struct {
	File  string
	Cause error
}

// Error returns the file and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Store holds the certificates of the last successful read. Its methods are safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[certificates]
}

type certificates struct {
	pair      *tls.Certificate
	authority *x509.CertPool
}

// Load reads the files; it returns an *Error on failure.
func Load(files Files) (*Store, error) {
	s := &Store{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On failure it returns an *Error, and the former certificates stay in use.
func (s *Store) Reload() error {
	c := &certificates{}
	var err error
	if s.files.Authority != "" {
		if c.authority, err = readAuthority(s.files.Authority); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.files.Certificate != "" || s.files.Key != "" {
		if c.pair, err = s.readPair(c.authority); err != nil {
			return trace.Wrap(&Error{s.files.Certificate, err})
		}
	}
	s.current.Store(c)
	return nil
}

func readAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &Error{file, trace.BadParameter("expected certificates in PEM form")}
	}
	return pool, nil
}

// readPair rejects a certificate that peers would reject, so that the mistake is reported by the process that has it.
func (s *Store) readPair(authority *x509.CertPool) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if now.Before(pair.Leaf.NotBefore) || now.After(pair.Leaf.NotAfter) {
		return nil, x509.CertificateInvalidError{Cert: pair.Leaf, Reason: x509.Expired, Detail: "the certificate is not valid now"}
	}
	if s.files.Name != "" {
		if err := pair.Leaf.VerifyHostname(s.files.Name); err != nil {
			return nil, err
		}
	}
	if authority == nil {
		return &pair, nil
	}
	intermediates := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		parsed, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		intermediates.AddCert(parsed)
	}
	_, err = pair.Leaf.Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return &pair, err
}

// CallerConfig returns the configuration of a server that requests no client certificate. Versions before TLS 1.2 are refused.
func (s *Store) CallerConfig() *tls.Config {
	return s.serverConfig(func(c *certificates) *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.pair}}
	})
}

// PeerConfig returns the configuration of a TLS 1.3 server that verifies the client's certificate if the client sends one.
func (s *Store) PeerConfig() *tls.Config {
	return s.serverConfig(func(c *certificates) *tls.Config {
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{*c.pair},
			ClientAuth:   tls.VerifyClientCertIfGiven,
			ClientCAs:    c.authority,
		}
	})
}

// serverConfig returns a configuration with which each handshake uses the current certificates. Session tickets are
// disabled, so that every connection verifies certificates.
func (s *Store) serverConfig(configure func(*certificates) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := configure(s.current.Load())
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// ClientConfig returns the configuration for one connection to a server whose certificate must contain name, a DNS name or
// an IP address. An empty name accepts every server certificate of the authority.
func (s *Store) ClientConfig(name string) *tls.Config {
	c := s.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.authority, ServerName: name}
	if c.pair != nil {
		config.Certificates = []tls.Certificate{*c.pair}
	}
	if name == "" {
		// VerifyConnection replaces the usual verification, which requires a name.
		config.InsecureSkipVerify = true
		config.VerifyConnection = func(state tls.ConnectionState) error { return verifyServer(state, c.authority) }
	}
	return config
}

func verifyServer(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	if err != nil {
		return &tls.CertificateVerificationError{UnverifiedCertificates: state.PeerCertificates, Err: err}
	}
	return nil
}
