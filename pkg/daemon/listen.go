package daemon

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/settings"
	"github.com/mulberryglade/mulberryglade/pkg/tcpopt"
	"github.com/mulberryglade/mulberryglade/pkg/tlsfiles"
)

// listen opens the three ports, with TLS where the settings name a certificate.
func (d *Daemon) listen() error {
	var err error
	if d.listeners.caller, err = openListener(d.settings.CallerAddress, d.settings.TLS.Caller, "http/1.1"); err != nil {
		return errors.Wrap(err, "callerAddress")
	}
	if d.listeners.peer, err = openListener(d.settings.PeerAddress, d.settings.TLS.Peer, "h2"); err != nil {
		d.closeListeners()
		return errors.Wrap(err, "peerAddress")
	}
	if d.listeners.admin, err = openListener(d.settings.AdminAddress, d.settings.TLS.Admin, "http/1.1"); err != nil {
		d.closeListeners()
		return errors.Wrap(err, "adminAddress")
	}
	return nil
}

func openListener(address string, files settings.Listener, protocol string) (net.Listener, error) {
	config, err := tlsfiles.Server(serverFiles(files), protocol)
	if err != nil {
		return nil, err
	}
	listener, err := tcpopt.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	if config == nil {
		return listener, nil
	}
	return tls.NewListener(listener, config), nil
}

func serverFiles(l settings.Listener) tlsfiles.Files {
	return tlsfiles.Files{CertFile: l.CertFile, KeyFile: l.KeyFile, CAFile: l.ClientCAFile}
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.caller, d.listeners.peer, d.listeners.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// peerTLS returns the TLS configuration of connections to peers, or nil for cleartext. An instance uses the certificate
// of its peer listener as the client certificate, and verifies peers against the CA certificates of that listener.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.settings.TLS.Peer.CertFile == "" {
		return nil, nil
	}
	config, err := tlsfiles.Client(serverFiles(d.settings.TLS.Peer))
	return config, errors.Wrap(err, "tls.peer")
}

// clientTLS returns a TLS client configuration that trusts the CA certificates in caFile, or nil when caFile is empty.
func clientTLS(caFile, setting string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	config, err := tlsfiles.Client(tlsfiles.Files{CAFile: caFile})
	return config, errors.Wrap(err, setting)
}
