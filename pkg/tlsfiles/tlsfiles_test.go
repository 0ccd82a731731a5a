package tlsfiles

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

// writeFiles writes a certificate of the CA, its key and the CA certificate to the directory.
func writeFiles(t *testing.T, ca *testkit.Authority, dir string, serial int64) Files {
	files := ca.Write(t, dir, serial)
	return Files{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	requireNoError(t, err)
	defer listener.Close()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		serverErr <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-serverErr
		return 0, err
	}
	defer conn.Close()
	// With TLS 1.3 a server rejects a client certificate only after the client's handshake ended.
	if err := <-serverErr; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a server that serves an expired certificate until it is restarted.
func TestRenewedCertificateIsServedWithoutRestart(t *testing.T) {
	ca := testkit.NewAuthority(t)
	dir := t.TempDir()
	files := writeFiles(t, ca, dir, 10)
	r, err := newReloader(files)
	requireNoError(t, err)
	now := time.Now()
	r.now = func() time.Time { return now }
	serverConfig := &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return r.serverConfig(nil), nil
	}, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current().certificate, nil }}
	client, err := Client(files)
	requireNoError(t, err)

	serial, err := handshake(t, serverConfig, client)
	requireNoError(t, err)
	if serial != 10 {
		t.Fatalf("serial is %d, want 10", serial)
	}
	writeFiles(t, ca, dir, 11)
	later := time.Now().Add(time.Minute)
	for _, name := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		requireNoError(t, os.Chtimes(name, later, later))
	}
	now = now.Add(minCheckInterval)
	serial, err = handshake(t, serverConfig, client)
	requireNoError(t, err)
	if serial != 11 {
		t.Fatalf("serial is %d after renewal, want 11", serial)
	}
	requireNoError(t, os.WriteFile(files.KeyFile, []byte("half written"), 0o600))
	now = now.Add(minCheckInterval)
	if serial, err = handshake(t, serverConfig, client); err != nil || serial != 11 {
		t.Fatalf("a half-written key must leave the old certificate in use: serial %d, error %v", serial, err)
	}
}

// Guards against mutual TLS that accepts an untrusted certificate on either side.
func TestMutualTLSRejectsUntrustedCertificates(t *testing.T) {
	trusted := writeFiles(t, testkit.NewAuthority(t), t.TempDir(), 1)
	untrusted := writeFiles(t, testkit.NewAuthority(t), t.TempDir(), 2)
	tests := []struct {
		name           string
		server, client Files
		wantOK         bool
	}{
		{"both trusted", trusted, trusted, true},
		{"client without certificate", trusted, Files{CAFile: trusted.CAFile}, false},
		{"untrusted client certificate", trusted, Files{CertFile: untrusted.CertFile, KeyFile: untrusted.KeyFile, CAFile: trusted.CAFile}, false},
		{"untrusted server certificate", untrusted, trusted, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			server, err := Server(c.server)
			requireNoError(t, err)
			client, err := Client(c.client)
			requireNoError(t, err)
			_, err = handshake(t, server, client)
			if (err == nil) != c.wantOK {
				t.Fatalf("handshake error is %v, want success %v", err, c.wantOK)
			}
		})
	}
}
