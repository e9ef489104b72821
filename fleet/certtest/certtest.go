// Package certtest makes certificate authorities and certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Authority signs certificates; File is the path of its own certificate.
type Authority struct {
	File string

	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Leaf describes a certificate, which always contains the loopback IP addresses.
type Leaf struct {
	// Names are the DNS names in the certificate.
	Names []string
	// Expired makes a certificate that expired an hour ago.
	Expired bool
	// ClientOnly omits the key usage for servers.
	ClientOnly bool
}

// New returns an authority whose files are removed at the end of the test.
func New(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{File: filepath.Join(t.TempDir(), "authority.pem"), t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	require.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	write(t, a.File, "CERTIFICATE", der)
	return a
}

// Issue writes a new certificate and its key, and returns the paths of both files.
func (a *Authority) Issue(leaf Leaf) (certificate, key string) {
	a.t.Helper()
	folder := a.t.TempDir()
	certificate, key = filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	a.Renew(certificate, key, leaf)
	return certificate, key
}

// Renew writes a new certificate and its key to the given files.
func (a *Authority) Renew(certificate, key string, leaf Leaf) {
	a.t.Helper()
	private := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		DNSNames:     leaf.Names, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if leaf.Expired {
		template.NotAfter = time.Now().Add(-time.Hour)
	}
	if leaf.ClientOnly {
		template.ExtKeyUsage = template.ExtKeyUsage[:1]
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	require.NoError(a.t, err)
	write(a.t, certificate, "CERTIFICATE", der)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(a.t, err)
	write(a.t, key, "PRIVATE KEY", secret)
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func write(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
