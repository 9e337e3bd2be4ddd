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

// The file names in an authority's folder.
const (
	caCert   = "ca.crt"
	caKey    = "ca.key"
	caBundle = "bundle.pem"
)

// clockSkew is subtracted from the start of a certificate's validity, as clocks differ between machines.
const clockSkew = 5 * time.Minute

const (
	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"
)

// Authority is a certificate authority stored in a folder: a key, its certificate, and the bundle of trusted certificates.
// The folder contains the private key and must not be distributed. Processes receive the bundle and the files written by Issue.
type Authority struct{ dir string }

// NewAuthority creates an authority in a folder. It returns an error if the folder already holds one.
func NewAuthority(dir string, validity time.Duration) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("identity: creating the authority's folder: %w", err)
	}
	a := &Authority{dir}
	if _, err := os.Stat(a.path(caKey)); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("identity: %s already holds an authority", dir)
	}
	return a, a.renew(validity, nil)
}

// OpenAuthority opens the authority in a folder and checks that its key and certificate are readable.
func OpenAuthority(dir string) (*Authority, error) {
	a := &Authority{dir}
	if _, _, err := a.load(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

// Bundle returns the path of the bundle that processes trust.
func (a *Authority) Bundle() string { return a.path(caBundle) }

// renew writes a new key, its certificate, and a bundle of this certificate followed by oldCerts in PEM.
func (a *Authority) renew(validity time.Duration, oldCerts []byte) error {
	if validity <= 0 {
		return errors.New("identity: the validity of an authority must be positive")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("identity: generating a key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "ivydeck authority " + now.UTC().Format(time.DateTime)},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fmt.Errorf("identity: creating a certificate: %w", err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der})
	private, err := encodeKey(key)
	if err != nil {
		return err
	}
	return errors.Join(
		replaceFile(a.path(caKey), private, 0o600), replaceFile(a.path(caCert), cert, 0o644),
		replaceFile(a.path(caBundle), append(bytes.Clone(cert), oldCerts...), 0o644))
}

// Rotate replaces the key and the certificate of the authority. The bundle contains the old and the new certificate until
// Retire. Distribute the bundle to all processes, reissue their certificates, and then call Retire.
func (a *Authority) Rotate(validity time.Duration) error {
	old, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return fmt.Errorf("identity: reading the authority: %w", err)
	}
	return a.renew(validity, old)
}

// Retire removes all certificates but the current one from the bundle.
func (a *Authority) Retire() error {
	cert, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return fmt.Errorf("identity: reading the authority: %w", err)
	}
	return replaceFile(a.path(caBundle), cert, 0o644)
}

// load reads the certificate and the key.
func (a *Authority) load() (*x509.Certificate, crypto.Signer, error) {
	data, err := os.ReadFile(a.path(caCert))
	if err != nil {
		return nil, nil, fmt.Errorf("identity: reading the authority: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != certBlock {
		return nil, nil, fmt.Errorf("identity: %s holds no certificate", a.path(caCert))
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("identity: parsing %s: %w", a.path(caCert), err)
	}
	if data, err = os.ReadFile(a.path(caKey)); err != nil {
		return nil, nil, fmt.Errorf("identity: reading the authority: %w", err)
	}
	if block, _ = pem.Decode(data); block == nil || block.Type != keyBlock {
		return nil, nil, fmt.Errorf("identity: %s holds no key", a.path(caKey))
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("identity: parsing %s: %w", a.path(caKey), err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, nil, fmt.Errorf("identity: %s holds a key that cannot sign", a.path(caKey))
	}
	return cert, signer, nil
}

// Issue creates a key and a certificate for a name, and writes them to files in dir that are named after it.
func (a *Authority) Issue(name Name, validity time.Duration, dir string) (Files, error) {
	cert, signer, err := a.load()
	if err != nil {
		return Files{}, err
	}
	if validity <= 0 || time.Now().Add(validity).After(cert.NotAfter) {
		return Files{}, fmt.Errorf("identity: a validity of %v is not positive, or extends beyond the authority's, which ends at %s", validity, cert.NotAfter.Format(time.RFC3339))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("identity: generating a key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: name.String()}, URIs: []*url.URL{name.URI()},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if name.Role == Operator {
		template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth} // an operator certificate cannot serve
	}
	der, err := x509.CreateCertificate(rand.Reader, template, cert, key.Public(), signer)
	if err != nil {
		return Files{}, fmt.Errorf("identity: creating a certificate: %w", err)
	}
	issued, err := x509.ParseCertificate(der)
	if err != nil {
		return Files{}, fmt.Errorf("identity: parsing the issued certificate: %w", err)
	}
	if _, err := nameOf(issued); err != nil { // the check that peers apply
		return Files{}, err
	}
	private, err := encodeKey(key)
	if err != nil {
		return Files{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Files{}, fmt.Errorf("identity: creating the output folder: %w", err)
	}
	f := Files{Cert: filepath.Join(dir, name.Name+".crt"), Key: filepath.Join(dir, name.Name+".key"), Bundle: a.Bundle()}
	// The certificate is written last. A process that reloads in between finds a key that does not match, and keeps its
	// previous credentials.
	return f, errors.Join(replaceFile(f.Key, private, 0o600), replaceFile(f.Cert, pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der}), 0o644))
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("identity: encoding the private key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

// serial returns a random serial number of 127 bits.
func serial() *big.Int {
	var b [16]byte
	rand.Read(b[:]) // crypto/rand.Read never returns an error
	b[0] &= 0x7f
	return new(big.Int).SetBytes(b[:])
}

// replaceFile replaces a file atomically by renaming a temporary file.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	temp := path + ".next"
	if err := os.WriteFile(temp, data, mode); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}
