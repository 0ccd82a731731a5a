package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/examples"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
	"github.com/mulberryglade/mulberryglade/pkg/tlsfiles"
)

// Guards against a listener or peer connection that uses cleartext, or accepts a client without a certificate, although
// the settings require mutual TLS.
func TestMutualTLSOnAllListeners(t *testing.T) {
	g := gomega.NewWithT(t)
	files := testkit.NewAuthority(t).Write(t, t.TempDir(), 1)
	token := filepath.Join(t.TempDir(), "token")
	g.Expect(os.WriteFile(token, []byte("operator-token"), 0o600)).To(gomega.Succeed())
	bed, err := testbed.Start(testbed.Options{Declarations: examples.Files, Folder: "sindhuli"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer bed.Close()
	g.Expect(bed.Apply(context.Background(), "initial")).To(gomega.Succeed())

	listener := settings.Listener{CertFile: files.Cert, KeyFile: files.Key, ClientCAFile: files.CA}
	start := func(id string, seeds []string) *Daemon {
		s := bed.Settings(id, "kathmandu-a", "127.0.0.1")
		s.TLS = settings.TLS{Caller: listener, Peer: listener, Admin: listener}
		s.SeedPeers = seeds
		s.OperatorTokenFile = token
		s.Shutdown.GraceMs = 0
		d, err := New(s, zap.NewNop())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return d
	}
	first := start("first", nil)
	second := start("second", []string{first.Addresses().Peer})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	for _, d := range []*Daemon{first, second} {
		go func() { ended <- d.Run(ctx) }()
	}
	defer func() {
		cancel()
		g.Expect(<-ended).To(gomega.Succeed())
		g.Expect(<-ended).To(gomega.Succeed())
	}()
	g.Eventually(func() int { return len(first.peerNode.Table.Live()) }, time.Minute).Should(gomega.Equal(1))

	g.Eventually(first.Ready, time.Minute).Should(gomega.Succeed())

	withCertificate, err := tlsfiles.Client(tlsfiles.Files{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	withoutCertificate, err := tlsfiles.Client(tlsfiles.Files{CAFile: files.CA})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a := first.Addresses()
	g.Expect(statusOf(withCertificate, "https://"+a.Caller+"/v1/models", "")).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(statusOf(withCertificate, "https://"+a.Admin+"/v1/status", "")).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(statusOf(withCertificate, "https://"+a.Admin+"/v1/status", "operator-token")).To(gomega.Equal(http.StatusOK))
	g.Expect(statusOf(withoutCertificate, "https://"+a.Caller+"/v1/models", "")).To(gomega.Equal(noResponse))
	g.Expect(statusOf(withoutCertificate, "https://"+a.Admin+"/v1/status", "operator-token")).To(gomega.Equal(noResponse))
	g.Expect(statusOf(nil, "http://"+a.Admin+"/v1/status", "operator-token")).NotTo(gomega.Equal(http.StatusOK))
}

// noResponse is what statusOf returns for a request that got no response.
const noResponse = 0

func statusOf(config *tls.Config, url, token string) int {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return noResponse
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return noResponse
	}
	_ = response.Body.Close()
	return response.StatusCode
}
