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

// Files names the PEM files of one identity. Certificate and Key are both set or both empty; so is Authority for a process
// that verifies nobody.
type Files struct {
	Certificate string
	Key         string
	Authority   string
	// Name is a DNS name that the certificate must have; empty accepts any.
	Name string
}

// Error reports a file that cannot be used.
type Error struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Store holds what the files contained at the last successful read. Its methods may be called from several goroutines.
type Store struct {
	files   Files
	current atomic.Pointer[content]
}

type content struct {
	pair      *tls.Certificate
	authority *x509.CertPool
}

// Load reads the files; an error is an *Error.
func Load(files Files) (*Store, error) {
	s := &Store{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. After an error, which is an *Error, the former content stays in use.
func (s *Store) Reload() error {
	c := &content{}
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

// readPair refuses a certificate that peers would refuse, so that a mistake shows where it was made.
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

// Callers returns the configuration of a server that asks for no certificate. Versions before TLS 1.2 are refused.
func (s *Store) Callers() *tls.Config {
	return s.server(func(c *content) *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.pair}}
	})
}

// Peers returns the configuration of a TLS 1.3 server that verifies a client's certificate if there is one.
func (s *Store) Peers() *tls.Config {
	return s.server(func(c *content) *tls.Config {
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{*c.pair},
			ClientAuth:   tls.VerifyClientCertIfGiven,
			ClientCAs:    c.authority,
		}
	})
}

// server makes each handshake use the present content. Without session tickets every connection verifies certificates.
func (s *Store) server(configure func(*content) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := configure(s.current.Load())
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// Client returns the configuration for one connection to a server whose certificate must have a name, which is a DNS name
// or an IP address. With an empty name every server certificate of the authority is accepted.
func (s *Store) Client(name string) *tls.Config {
	c := s.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.authority, ServerName: name}
	if c.pair != nil {
		config.Certificates = []tls.Certificate{*c.pair}
	}
	if name == "" {
		// The check below replaces the usual one, which cannot do without a name.
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
