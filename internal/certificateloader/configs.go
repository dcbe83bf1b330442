package certificateloader

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// ServerConfig returns the TLS configuration of a listener for peers. Each handshake
// uses the certificates that were loaded last.
func (l *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := l.loaded.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"http/1.1"},
				Certificates: []tls.Certificate{c.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.authorities,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of connections to peers. A peer is
// verified by the authority that signed its certificate, not by its name.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &l.loaded.Load().certificate, nil
		},
		// The standard verification uses the authorities that were loaded when
		// the configuration was made. VerifyConnection does the same with the
		// current authorities, but without the host name: peers are dialled by
		// IP address, and VMs are replaced.
		InsecureSkipVerify: true,
		VerifyConnection:   l.verifyServer,
	}
}

func (l *Loader) verifyServer(state tls.ConnectionState) (err error) {
	defer func() { err = errors.Wrap(err, "verifying the peer's certificate") }()
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         l.loaded.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
