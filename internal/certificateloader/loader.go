// Package certificateloader loads the certificates with which entry VMs
// authenticate to each other, and reloads them when their files change, so that
// keys can be rotated without a restart.
package certificateloader

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// maxFileSize bounds the size of each certificate or key file, in bytes.
const maxFileSize = 1 << 20

// Options configure a Loader.
type Options struct {
	CertificateFile string        // PEM: this VM's certificate, then its chain
	KeyFile         string        // PEM: the certificate's private key
	AuthorityFile   string        // PEM: the authorities that sign peers' certificates
	CheckInterval   time.Duration // between two checks of the files
	Logger          log.Logger
}

// Loader holds the certificates that were loaded last.
type Loader struct {
	opts   Options
	loaded atomic.Pointer[credentials]
	done   chan struct{}
	wait   sync.WaitGroup
}

// credentials holds the contents of the files from one load.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	hash        [sha256.Size]byte // of all files
}

// New loads the files and watches them until Close. It fails if a file is invalid.
func New(opts Options) (l *Loader, err error) {
	defer func() { err = errors.Wrap(err, "loading certificates") }()
	l = &Loader{opts: opts, done: make(chan struct{})}
	c, err := opts.load()
	if err != nil {
		return nil, err
	}
	l.loaded.Store(c)
	l.wait.Go(l.watch)
	return l, nil
}

// Close stops watching the files.
func (l *Loader) Close() {
	close(l.done)
	l.wait.Wait()
}

// watch reloads the files at intervals. If a file is invalid, the earlier
// certificates stay in use.
func (l *Loader) watch() {
	ticker := time.NewTicker(l.opts.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
			l.reload()
		}
	}
}

func (l *Loader) reload() {
	c, err := l.opts.load()
	if err != nil {
		_ = l.opts.Logger.Log("level", "error", "msg", "keeping the earlier certificates", "err", err)
		return
	}
	if c.hash == l.loaded.Load().hash {
		return
	}
	l.loaded.Store(c)
	_ = l.opts.Logger.Log("level", "info", "msg", "loaded new certificates")
}

func (o Options) load() (c *credentials, err error) {
	files := make([][]byte, 3)
	for i, name := range []string{o.CertificateFile, o.KeyFile, o.AuthorityFile} {
		if files[i], err = readBoundedFile(name); err != nil {
			return nil, err
		}
	}
	certificate, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", o.CertificateFile, o.KeyFile)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(files[2]) {
		return nil, errors.Newf("%s holds no certificate", o.AuthorityFile)
	}
	return &credentials{
		certificate: certificate,
		authorities: authorities,
		hash:        sha256.Sum256(bytes.Join(files, []byte{0})),
	}, nil
}

func readBoundedFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, errors.Newf("%s has %d bytes, above the bound of %d", name, info.Size(), maxFileSize)
	}
	return os.ReadFile(name)
}
