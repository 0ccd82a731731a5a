package testkit

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
)

// Authority is a certificate authority for tests. It issues certificates for 127.0.0.1.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

// Files are the paths of the PEM files of a certificate, its key and the CA certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

const (
	certificateValidity = time.Hour
	privateFileMode     = 0o600
)

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	failOnError(t, err)
	cert, err := x509.ParseCertificate(der)
	failOnError(t, err)
	return &Authority{key: key, cert: cert, der: der}
}

// Write issues a certificate with the serial number. It writes the certificate, its key and the CA certificate to the
// folder.
func (a *Authority) Write(t testing.TB, folder string, serial int64) Files {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(certificateValidity),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	failOnError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	failOnError(t, err)
	files := Files{
		Cert: filepath.Join(folder, "cert.pem"),
		Key:  filepath.Join(folder, "key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.der)
	return files
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	failOnError(t, err)
	return key
}

func writePEM(t testing.TB, name, kind string, der []byte) {
	failOnError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), privateFileMode))
}

func failOnError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
