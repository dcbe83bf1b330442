package certificateloader

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// Server returns the configuration of a listener for peers. Each handshake
// takes the certificates that were loaded last.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := l.loaded.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"http/1.1"},
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
			}, nil
		},
	}
}

// Client returns the configuration of connections to peers, which are known by
// the authority that signed their certificate.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &l.loaded.Load().certificate, nil
		},
		// The standard check needs the authorities of the time when the
		// configuration was made. VerifyConnection makes the same check with
		// those of now, but for the name: peers are called by IP number, and VMs
		// are replaced.
		InsecureSkipVerify: true,
		VerifyConnection:   l.verifyServer,
	}
}

func (l *Loader) verifyServer(state tls.ConnectionState) (err error) {
	defer func() { err = errors.Wrap(err, "verifying the peer's certificate") }()
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent none")
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
