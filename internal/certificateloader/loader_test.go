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

// authority is a certificate authority for tests.
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
	return authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// writeFiles writes a new key, a certificate signed by the authority and the
// trusted authorities to the files of opts.
func (a authority) writeFiles(t *testing.T, opts Options, trusted []byte) {
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
		opts.CertificateFile: encodePEM("CERTIFICATE", der),
		opts.KeyFile:         encodePEM("EC PRIVATE KEY", keyDER),
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
		CheckInterval:   time.Hour, // tests call reload
		Logger:          log.NewNopLogger(),
	}
}

func newLoader(t *testing.T, a authority, trusted []byte) *Loader {
	t.Helper()
	opts := optionsIn(t.TempDir())
	a.writeFiles(t, opts, trusted)
	l, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// handshake returns the errors of both ends of one TLS handshake.
func handshake(client, server *Loader) (clientErr, serverErr error) {
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverConn, server.ServerConfig())
		done <- conn.Handshake()
		_ = serverConn.Close()
	}()
	conn := tls.Client(clientConn, client.ClientConfig())
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1)) // the server rejects a client's certificate only after the client's handshake has ended
		if clientErr != nil && clientErr.Error() == "EOF" {
			clientErr = nil
		}
	}
	_ = clientConn.Close()
	return clientErr, <-done
}

// TestRotation checks that a reload changes both the certificate that is sent and
// the authorities that are trusted.
func TestRotation(t *testing.T) {
	older, newer := newAuthority(t, 1), newAuthority(t, 2)
	both := append(append([]byte{}, older.pem...), newer.pem...)
	a, b := newLoader(t, older, older.pem), newLoader(t, older, older.pem)
	if _, err := handshake(a, b); err != nil {
		t.Fatalf("same authority: %v", err)
	}
	newer.writeFiles(t, b.opts, both)
	b.reload()
	if _, err := handshake(b, a); err == nil {
		t.Fatal("a certificate of an unknown authority was accepted")
	}
	older.writeFiles(t, a.opts, both)
	a.reload()
	if _, err := handshake(a, b); err != nil {
		t.Fatalf("after both loaders trust both authorities: %v", err)
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
		t.Fatalf("after reloading an invalid key file: %v", err)
	}
	if _, err := New(a.opts); err == nil {
		t.Fatal("New accepted an invalid key file")
	}
}
