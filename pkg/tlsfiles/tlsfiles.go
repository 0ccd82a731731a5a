// Package tlsfiles builds TLS configurations from files and reloads renewed files without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// minCheckInterval is the minimum time between two checks of the files' modification times.
const minCheckInterval = 5 * time.Second

// Files names the certificate of a process and the CA certificates that it trusts.
type Files struct {
	// CertFile and KeyFile are PEM files. If empty, the process has no certificate.
	CertFile string
	KeyFile  string
	// CAFile is a PEM file with the trusted CA certificates. For a server it makes client certificates mandatory.
	CAFile string
}

// Server returns a server configuration that offers the protocols, such as "h2", or nil if there is no CertFile. Errors
// name the file.
func Server(files Files, protocols ...string) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	r, err := newReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		NextProtos:         protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.serverConfig(protocols), nil },
		// Servers check that a configuration has a certificate before the first handshake.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current().certificate, nil },
	}, nil
}

// Client returns a client configuration that presents the certificate, if any. It trusts CAFile or, if that is empty,
// the system's CA certificates.
func Client(files Files) (*tls.Config, error) {
	r, err := newReloader(files)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if files.CertFile != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		}
	}
	if files.CAFile != "" {
		verifyWithReloader(config, r)
	}
	return config, nil
}

// verifyWithReloader replaces the standard verification, whose CA certificates are fixed when the configuration is
// created, with the same verification against the current CA certificates.
func verifyWithReloader(config *tls.Config, r *reloader) {
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		options := x509.VerifyOptions{
			Roots:         r.current().caPool,
			DNSName:       state.ServerName,
			Intermediates: x509.NewCertPool(),
		}
		for _, cert := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return err
	}
}

// credentials are the loaded contents of the files.
type credentials struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// reloader reloads the files when their modification times change. It is safe for concurrent use.
type reloader struct {
	files Files
	now   func() time.Time

	mu        sync.Mutex
	loaded    credentials
	modTimes  [3]time.Time
	checkedAt time.Time
}

func newReloader(files Files) (*reloader, error) {
	r := &reloader{files: files, now: time.Now}
	loaded, err := r.load()
	if err != nil {
		return nil, err
	}
	r.loaded = loaded
	r.modTimes = r.readModTimes()
	r.checkedAt = r.now()
	return r, nil
}

func (r *reloader) load() (credentials, error) {
	var c credentials
	if r.files.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(r.files.CertFile, r.files.KeyFile)
		if err != nil {
			return c, errors.Wrapf(err, "certificate %q with key %q", r.files.CertFile, r.files.KeyFile)
		}
		c.certificate = &pair
	}
	if r.files.CAFile != "" {
		text, err := os.ReadFile(r.files.CAFile)
		if err != nil {
			return c, errors.Wrapf(err, "CA file %q", r.files.CAFile)
		}
		c.caPool = x509.NewCertPool()
		if !c.caPool.AppendCertsFromPEM(text) {
			return c, errors.Newf("CA file %q: no PEM certificate found", r.files.CAFile)
		}
	}
	return c, nil
}

func (r *reloader) readModTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{r.files.CertFile, r.files.KeyFile, r.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the newest usable credentials. If the files cannot be loaded, for example while they are being
// replaced and do not match, the old credentials stay in use and loading is retried at the next check.
func (r *reloader) current() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.checkedAt) < minCheckInterval {
		return r.loaded
	}
	r.checkedAt = r.now()
	modTimes := r.readModTimes()
	if modTimes == r.modTimes {
		return r.loaded
	}
	if renewed, err := r.load(); err == nil {
		r.loaded = renewed
		r.modTimes = modTimes
	}
	return r.loaded
}

func (r *reloader) serverConfig(protocols []string) *tls.Config {
	c := r.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*c.certificate},
		NextProtos:   protocols,
	}
	if c.caPool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = c.caPool
	}
	return config
}
