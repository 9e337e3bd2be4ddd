package identity

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// The files of an authority.
const (
	caCert   = "ca.crt"
	caKey    = "ca.key"
	caBundle = "bundle.pem"
)

// clockSkew is how long before its issue a certificate is valid: clocks differ between machines.
const clockSkew = 5 * time.Minute

const (
	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"
)

// Authority is a small certificate authority, for those who have none: a folder with a key, its certificate, and the bundle
// that processes trust. The folder stays with whoever issues; processes receive the bundle and what Issue makes.
type Authority struct{ dir string }

// NewAuthority makes an authority in a folder without one.
func NewAuthority(dir string, validity time.Duration) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	a := &Authority{dir}
	if _, err := os.Stat(a.path(caKey)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("identity: %s holds an authority already", dir)
	}
	return a, a.renew(validity, nil)
}

// OpenAuthority opens the authority in a folder.
func OpenAuthority(dir string) (*Authority, error) {
	a := &Authority{dir}
	if _, _, err := a.load(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

// Bundle is the path of the bundle that processes trust.
func (a *Authority) Bundle() string { return a.path(caBundle) }

// renew makes a key and a certificate, and a bundle with the older ones behind it.
func (a *Authority) renew(validity time.Duration, older []byte) error {
	if validity <= 0 {
		return errors.New("identity: an authority needs a time to live")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "ivydeck authority " + now.UTC().Format(time.DateTime)},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der})
	private, err := encodeKey(key)
	if err != nil {
		return err
	}
	return errors.Join(
		write(a.path(caKey), private, 0o600), write(a.path(caCert), cert, 0o644),
		write(a.path(caBundle), append(bytes.Clone(cert), older...), 0o644))
}

// Rotate replaces this authority by a new one. The bundle has both until Retire: once every process has the bundle,
// certificates are issued again, and then the old authority can be removed.
func (a *Authority) Rotate(validity time.Duration) error {
	old, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return a.renew(validity, old)
}

// Retire removes all but the present authority from the bundle.
func (a *Authority) Retire() error {
	cert, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return write(a.path(caBundle), cert, 0o644)
}

func (a *Authority) load() (*x509.Certificate, crypto.Signer, error) {
	text, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return nil, nil, fmt.Errorf("identity: no authority: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != certBlock {
		return nil, nil, fmt.Errorf("identity: %s holds no certificate", a.path(caCert))
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("identity: %s: %w", a.path(caCert), err)
	}
	if text, err = os.ReadFile(a.path(caKey)); err != nil {
		return nil, nil, fmt.Errorf("identity: no authority: %w", err)
	}
	if block, _ = pem.Decode(text); block == nil || block.Type != keyBlock {
		return nil, nil, fmt.Errorf("identity: %s holds no key", a.path(caKey))
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("identity: %s: %w", a.path(caKey), err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, nil, fmt.Errorf("identity: %s holds a key that can't sign", a.path(caKey))
	}
	return cert, signer, nil
}

// Issue makes a key and a certificate for a name, and writes them to files of that
// name in a folder.
func (a *Authority) Issue(name Name, validity time.Duration, dir string) (Files, error) {
	cert, signer, err := a.load()
	if err != nil {
		return Files{}, err
	}
	if validity <= 0 || time.Now().Add(validity).After(cert.NotAfter) {
		return Files{}, fmt.Errorf("identity: a validity of %v is not positive, or beyond the authority's, which ends at %s", validity, cert.NotAfter.Format(time.RFC3339))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("identity: %w", err)
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name.String()}, URIs: []*url.URL{name.URI()},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if name.Role == Operator {
		tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth} // not valid as a machine's
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, cert, key.Public(), signer)
	if err != nil {
		return Files{}, fmt.Errorf("identity: %w", err)
	}
	made, err := x509.ParseCertificate(der)
	if err != nil {
		return Files{}, fmt.Errorf("identity: %w", err)
	}
	if _, err := Of(made); err != nil { // as whoever verifies it will
		return Files{}, err
	}
	private, err := encodeKey(key)
	if err != nil {
		return Files{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Files{}, fmt.Errorf("identity: %w", err)
	}
	f := Files{Cert: filepath.Join(dir, name.Name+".crt"), Key: filepath.Join(dir, name.Name+".key"), Bundle: a.Bundle()}
	// The certificate last: a process that reads between the two finds that it does not match its key, and keeps the old.
	return f, errors.Join(write(f.Key, private, 0o600), write(f.Cert, pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der}), 0o644))
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

func serial() *big.Int {
	var b [16]byte
	rand.Read(b[:]) // it never fails, as its page says
	b[0] &= 0x7f
	return new(big.Int).SetBytes(b[:])
}

// write replaces a file atomically.
func write(path string, data []byte, mode os.FileMode) error {
	next := path + ".next"
	if err := os.WriteFile(next, data, mode); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}
