package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
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

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err := x509.ParseCertificate(der)
	check(t, err)
	return &authority{key: key, cert: cert, der: der}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

// write puts a certificate for 127.0.0.1 and the authority into the folder and returns the files.
func (a *authority) write(t *testing.T, folder string, serial int64) Files {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	check(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	check(t, err)
	files := Files{
		CertFile: filepath.Join(folder, "cert.pem"),
		KeyFile:  filepath.Join(folder, "key.pem"),
		CAFile:   filepath.Join(folder, "ca.pem"),
	}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", a.der)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	check(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	check(t, err)
	defer listener.Close()
	failed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		failed <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-failed
		return 0, err
	}
	defer conn.Close()
	// With TLS 1.3 a server rejects a client certificate only after the client's handshake ended.
	if err := <-failed; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a server that serves an expired certificate until it is restarted.
func TestRenewedCertificateIsServedWithoutRestart(t *testing.T) {
	ca := newAuthority(t)
	folder := t.TempDir()
	files := ca.write(t, folder, 10)
	s, err := newSource(files)
	check(t, err)
	now := time.Now()
	s.now = func() time.Time { return now }
	serverConfig := &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverConfig(nil), nil
	}, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current().certificate, nil }}
	client, err := Client(files)
	check(t, err)

	serial, err := handshake(t, serverConfig, client)
	check(t, err)
	if serial != 10 {
		t.Fatalf("serial is %d, want 10", serial)
	}
	ca.write(t, folder, 11)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		check(t, os.Chtimes(name, later, later))
	}
	now = now.Add(checkInterval)
	serial, err = handshake(t, serverConfig, client)
	check(t, err)
	if serial != 11 {
		t.Fatalf("serial is %d after renewal, want 11", serial)
	}
	check(t, os.WriteFile(files.KeyFile, []byte("half written"), 0o600))
	now = now.Add(checkInterval)
	if serial, err = handshake(t, serverConfig, client); err != nil || serial != 11 {
		t.Fatalf("a half-written key must leave the old certificate in use: serial %d, error %v", serial, err)
	}
}

// Guards against mutual TLS that accepts strangers on either side.
func TestMutualTLSRejectsStrangers(t *testing.T) {
	trusted := newAuthority(t).write(t, t.TempDir(), 1)
	stranger := newAuthority(t).write(t, t.TempDir(), 2)
	cases := []struct {
		name           string
		server, client Files
		wantOK         bool
	}{
		{"both trusted", trusted, trusted, true},
		{"client without certificate", trusted, Files{CAFile: trusted.CAFile}, false},
		{"client certificate of a stranger", trusted, Files{CertFile: stranger.CertFile, KeyFile: stranger.KeyFile, CAFile: trusted.CAFile}, false},
		{"server certificate of a stranger", stranger, trusted, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, err := Server(c.server)
			check(t, err)
			client, err := Client(c.client)
			check(t, err)
			_, err = handshake(t, server, client)
			if (err == nil) != c.wantOK {
				t.Fatalf("handshake error is %v, want success %v", err, c.wantOK)
			}
		})
	}
}
