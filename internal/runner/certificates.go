package runner

import (
	"crypto/tls"

	"github.com/peppertrack/peppertrack/internal/certificateloader"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// loadCertificates loads the certificates for the links to peers, if the settings
// name any.
func (r *Runner) loadCertificates() (err error) {
	files := r.opts.Settings.TLS
	if files == (settingsloader.TLS{}) {
		return nil
	}
	r.certificates, err = certificateloader.New(certificateloader.Options{
		CertificateFile: files.CertificateFile,
		KeyFile:         files.KeyFile,
		AuthorityFile:   files.AuthorityFile,
		CheckInterval:   certificateInterval,
		Logger:          r.opts.Logger,
	})
	if err != nil {
		return err
	}
	r.listeners.peers = tls.NewListener(r.listeners.peers, r.certificates.ServerConfig())
	return nil
}

func (r *Runner) clientTLS() *tls.Config {
	if r.certificates == nil {
		return nil
	}
	return r.certificates.ClientConfig()
}
