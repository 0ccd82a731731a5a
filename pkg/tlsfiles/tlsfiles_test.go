package tlsfiles

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

// write puts a certificate of the authority into the folder.
func write(t *testing.T, ca *testkit.Authority, folder string, serial int64) Files {
	files := ca.Write(t, folder, serial)
	return Files{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
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
	ca := testkit.NewAuthority(t)
	folder := t.TempDir()
	files := write(t, ca, folder, 10)
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
	write(t, ca, folder, 11)
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
	trusted := write(t, testkit.NewAuthority(t), t.TempDir(), 1)
	stranger := write(t, testkit.NewAuthority(t), t.TempDir(), 2)
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
