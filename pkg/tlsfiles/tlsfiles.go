// Package tlsfiles builds TLS configurations from files and takes over renewed files without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the least time between two looks at the files' modification times.
const checkInterval = 5 * time.Second

// Files name the certificate of a process and the authorities that it trusts for the other side.
type Files struct {
	// CertFile and KeyFile are PEM files; empty means no own certificate.
	CertFile string
	KeyFile  string
	// CAFile is a PEM file with the trusted authorities; for a server it makes client certificates mandatory.
	CAFile string
}

// Server returns a server configuration that offers the protocols, such as "h2", or nil when the files name no
// certificate. Errors name the file.
func Server(files Files, protocols ...string) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		NextProtos:         protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(protocols), nil },
		// Servers check that a configuration has a certificate before the first handshake.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current().certificate, nil },
	}, nil
}

// Client returns a client configuration that presents the certificate, if any, and trusts CAFile, or the system's
// authorities when it is empty.
func Client(files Files) (*tls.Config, error) {
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if files.CertFile != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current().certificate, nil
		}
	}
	if files.CAFile != "" {
		verifyWithSource(config, s)
	}
	return config, nil
}

// verifyWithSource replaces the standard verification, whose authorities are fixed when the configuration is made, by
// the same verification with the current authorities.
func verifyWithSource(config *tls.Config, s *source) {
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		options := x509.VerifyOptions{
			Roots:         s.current().authorities,
			DNSName:       state.ServerName,
			Intermediates: x509.NewCertPool(),
		}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return err
	}
}

// material is what was read from the files at one time.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// source rereads the files when their modification time changes. It is safe for concurrent use.
type source struct {
	files Files
	now   func() time.Time

	mu       sync.Mutex
	loaded   material
	modified [3]time.Time
	checked  time.Time
}

func newSource(files Files) (*source, error) {
	s := &source{files: files, now: time.Now}
	loaded, err := s.read()
	if err != nil {
		return nil, err
	}
	s.loaded = loaded
	s.modified = s.modificationTimes()
	s.checked = s.now()
	return s, nil
}

func (s *source) read() (material, error) {
	var m material
	if s.files.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
		if err != nil {
			return m, errors.Wrapf(err, "certificate %q with key %q", s.files.CertFile, s.files.KeyFile)
		}
		m.certificate = &pair
	}
	if s.files.CAFile != "" {
		text, err := os.ReadFile(s.files.CAFile)
		if err != nil {
			return m, errors.Wrapf(err, "authorities %q", s.files.CAFile)
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(text) {
			return m, errors.Newf("authorities %q: no PEM certificate found", s.files.CAFile)
		}
	}
	return m, nil
}

func (s *source) modificationTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the newest usable material. Files that are being replaced and do not fit together are tried again at
// the next check; until then the old material stays in use.
func (s *source) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Sub(s.checked) < checkInterval {
		return s.loaded
	}
	s.checked = s.now()
	modified := s.modificationTimes()
	if modified == s.modified {
		return s.loaded
	}
	if fresh, err := s.read(); err == nil {
		s.loaded = fresh
		s.modified = modified
	}
	return s.loaded
}

func (s *source) serverConfig(protocols []string) *tls.Config {
	m := s.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*m.certificate},
		NextProtos:   protocols,
	}
	if m.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
	}
	return config
}
