// Package certificateloader loads the certificates with which entry VMs prove
// themselves to each other, and loads them again when their files change, so
// that keys are rotated without a restart.
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

// maxFileSize bounds a file of certificates or keys, in bytes.
const maxFileSize = 1 << 20

// Options configure a Loader.
type Options struct {
	CertificateFile string        // PEM: this VM's certificate, then its chain
	KeyFile         string        // PEM: the certificate's private key
	AuthorityFile   string        // PEM: the authorities that sign peers' certificates
	Interval        time.Duration // between two looks at the files
	Logger          log.Logger
}

// Loader holds the certificates that were loaded last.
type Loader struct {
	opts   Options
	loaded atomic.Pointer[material]
	done   chan struct{}
	wait   sync.WaitGroup
}

// material is what the files hold at one time.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	hash        [sha256.Size]byte
}

// New returns a Loader of files that are good now, and watches them until Close.
func New(opts Options) (l *Loader, err error) {
	defer func() { err = errors.Wrap(err, "loading certificates") }()
	l = &Loader{opts: opts, done: make(chan struct{})}
	m, err := opts.load()
	if err != nil {
		return nil, err
	}
	l.loaded.Store(m)
	l.wait.Go(l.watch)
	return l, nil
}

// Close stops watching the files.
func (l *Loader) Close() {
	close(l.done)
	l.wait.Wait()
}

// watch loads the files again at intervals. Files that are not good change nothing.
func (l *Loader) watch() {
	ticker := time.NewTicker(l.opts.Interval)
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
	m, err := l.opts.load()
	if err != nil {
		_ = l.opts.Logger.Log("level", "error", "msg", "keeping the earlier certificates", "err", err)
		return
	}
	if m.hash == l.loaded.Load().hash {
		return
	}
	l.loaded.Store(m)
	_ = l.opts.Logger.Log("level", "info", "msg", "loaded new certificates")
}

func (o Options) load() (m *material, err error) {
	files := make([][]byte, 3)
	for i, name := range []string{o.CertificateFile, o.KeyFile, o.AuthorityFile} {
		if files[i], err = readFile(name); err != nil {
			return nil, err
		}
	}
	certificate, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return nil, errors.Wrapf(err, "%s with %s", o.CertificateFile, o.KeyFile)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(files[2]) {
		return nil, errors.Newf("%s holds no certificate", o.AuthorityFile)
	}
	return &material{
		certificate: certificate,
		authorities: authorities,
		hash:        sha256.Sum256(bytes.Join(files, []byte{0})),
	}, nil
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, errors.Newf("%s has %d bytes, above the bound of %d", name, info.Size(), maxFileSize)
	}
	return os.ReadFile(name)
}
