package certificateloader

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T, serial int64) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// write puts a fresh key and certificate of the authority into the options' files.
func (a authority) write(t *testing.T, opts Options, trusted []byte) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "entry VM"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		opts.CertificateFile: encode("CERTIFICATE", der),
		opts.KeyFile:         encode("EC PRIVATE KEY", keyDER),
		opts.AuthorityFile:   trusted,
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func optionsIn(dir string) Options {
	return Options{
		CertificateFile: filepath.Join(dir, "certificate.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "authority.pem"),
		Interval:        time.Hour, // tests reload by hand
		Logger:          log.NewNopLogger(),
	}
}

func newLoader(t *testing.T, a authority, trusted []byte) *Loader {
	t.Helper()
	opts := optionsIn(t.TempDir())
	a.write(t, opts, trusted)
	l, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// handshake returns the errors of both ends of one connection.
func handshake(client, server *Loader) (clientErr, serverErr error) {
	c, s := net.Pipe()
	defer c.Close()
	defer s.Close()
	done := make(chan error, 1)
	go func() {
		end := tls.Server(s, server.Server())
		done <- end.Handshake()
		_ = s.Close()
	}()
	end := tls.Client(c, client.Client())
	clientErr = end.Handshake()
	if clientErr == nil {
		_, clientErr = end.Read(make([]byte, 1)) // a refusal of the client's certificate arrives after its handshake
		if clientErr != nil && clientErr.Error() == "EOF" {
			clientErr = nil
		}
	}
	_ = c.Close()
	return clientErr, <-done
}

func TestRotation(t *testing.T) {
	older, newer := newAuthority(t, 1), newAuthority(t, 2)
	both := append(append([]byte{}, older.pem...), newer.pem...)
	a, b := newLoader(t, older, older.pem), newLoader(t, older, older.pem)
	if _, err := handshake(a, b); err != nil {
		t.Fatalf("same authority: %v", err)
	}
	newer.write(t, b.opts, both)
	b.reload()
	if _, err := handshake(b, a); err == nil {
		t.Fatal("a certificate of an unknown authority was accepted")
	}
	older.write(t, a.opts, both)
	a.reload()
	if _, err := handshake(a, b); err != nil {
		t.Fatalf("after both trust both authorities: %v", err)
	}
	if _, err := handshake(b, a); err != nil {
		t.Fatalf("in the other direction: %v", err)
	}
}

func TestBadFilesChangeNothing(t *testing.T) {
	authority := newAuthority(t, 1)
	a, b := newLoader(t, authority, authority.pem), newLoader(t, authority, authority.pem)
	if err := os.WriteFile(a.opts.KeyFile, []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	a.reload()
	if _, err := handshake(a, b); err != nil {
		t.Fatalf("after a bad key file: %v", err)
	}
	if _, err := New(a.opts); err == nil {
		t.Fatal("a loader started with a bad key file")
	}
}
