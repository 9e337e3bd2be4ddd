// Package identity authenticates processes and operators by certificates (X.509, RFC 5280; TLS 1.3, RFC 8446). A certificate
// contains the role and the name of its holder, and is verified against a bundle of authorities. Files may be replaced while
// a process runs: new connections use the new files, and open connections are kept.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"
)

// Role determines which methods the holder of a certificate may call.
type Role string

// The roles. A certificate has exactly one. The values must not change, because certificates contain them.
const (
	QuorumMember Role = "core"     // member of the Raft quorum
	Node         Role = "node"     // sidecar machine
	Operator     Role = "operator" // person or tool that may change the configuration and read backups
)

var roles = []Role{QuorumMember, Node, Operator}

const (
	scheme        = "ivydeck"   // URI scheme of the names in certificates: ivydeck://ROLE/NAME
	checkInterval = time.Second // interval between checks for changed files
)

// Name identifies the holder of a certificate.
type Name struct {
	Role Role
	Name string // node_name of the machine, or name of the operator
}

func (n Name) String() string { return string(n.Role) + " " + n.Name }

// URI returns the name in the form used in certificates, ivydeck://ROLE/NAME.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(n.Role), Path: "/" + n.Name}
}

// nameOf returns the name in a certificate, which must contain exactly one.
func nameOf(cert *x509.Certificate) (name Name, err error) {
	found := 0
	for _, u := range cert.URIs {
		if u.Scheme != scheme {
			continue
		}
		found++
		name = Name{Role(u.Host), strings.TrimPrefix(u.Path, "/")}
	}
	switch {
	case found != 1:
		return Name{}, fmt.Errorf("identity: the certificate has %d names of the form %s://ROLE/NAME, want exactly one", found, scheme)
	case name.Name == "" || strings.Contains(name.Name, "/"):
		return Name{}, fmt.Errorf("identity: the certificate's name is %q, want a non-empty name without a slash", name.Name)
	}
	for _, r := range roles {
		if name.Role == r {
			return name, nil
		}
	}
	return Name{}, fmt.Errorf("identity: the certificate's role is %q, want one of %v", name.Role, roles)
}

// Files are the paths of the PEM files of an identity.
type Files struct {
	Cert   string // certificate, followed by the intermediates up to an authority
	Key    string // private key of the certificate
	Bundle string // trusted authorities
}

// credentials are the parsed contents of Files.
type credentials struct {
	cert  *tls.Certificate
	name  Name
	roots *x509.CertPool
}

// Source is an identity that reloads its files when they change. Its methods are safe for concurrent use.
type Source struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex
	current     credentials
	lastStamp   string    // stamp of the files at the last attempt to read them
	nextCheckAt time.Time // earliest time of the next check for changed files
}

// Open reads the files of an identity. Errors name the invalid file.
func Open(files Files, log *slog.Logger) (*Source, error) {
	creds, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, log: log, current: creds, lastStamp: stamp(files), nextCheckAt: time.Now().Add(checkInterval)}, nil
}

func read(files Files) (credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return credentials{}, fmt.Errorf("identity: loading certificate %s with key %s: %w", files.Cert, files.Key, err)
	}
	name, err := nameOf(cert.Leaf)
	if err != nil {
		return credentials{}, fmt.Errorf("%s: %w", files.Cert, err)
	}
	bundle, err := os.ReadFile(files.Bundle)
	if err != nil {
		return credentials{}, fmt.Errorf("identity: reading the bundle: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(bundle) {
		return credentials{}, fmt.Errorf("identity: %s holds no certificate", files.Bundle)
	}
	return credentials{&cert, name, roots}, nil
}

// stamp returns the modification times and sizes of the files, to detect changes.
func stamp(files Files) string {
	var b strings.Builder
	for _, path := range []string{files.Cert, files.Key, files.Bundle} {
		if info, err := os.Stat(path); err != nil {
			fmt.Fprintln(&b, err)
		} else {
			fmt.Fprintln(&b, info.ModTime().UnixNano(), info.Size())
		}
	}
	return b.String()
}

// credentials returns the current credentials. It reloads changed files at most every checkInterval. If a reload fails, for
// example between the writes of a certificate and its key, it logs the error and keeps the previous credentials.
func (s *Source) credentials() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.After(s.nextCheckAt) {
		s.nextCheckAt = now.Add(checkInterval)
		if newStamp := stamp(s.files); newStamp != s.lastStamp {
			s.lastStamp = newStamp
			if creds, err := read(s.files); err != nil {
				s.log.Error("identity.reload_failed", "err", err)
			} else {
				s.current = creds
				s.log.Info("identity.reloaded", "name", creds.name.String(), "not_after", creds.cert.Leaf.NotAfter)
			}
		}
	}
	return s.current
}

// Name returns the name in the current certificate.
func (s *Source) Name() Name { return s.credentials().name }

// NotAfter returns the expiry time of the current certificate.
func (s *Source) NotAfter() time.Time { return s.credentials().cert.Leaf.NotAfter }

// Remaining returns the time until the certificate expires, or -1 s if s is nil.
func (s *Source) Remaining() time.Duration {
	if s == nil {
		return -time.Second
	}
	return time.Until(s.NotAfter())
}

// config returns the settings common to clients and servers. Session resumption is disabled, so that each connection is
// verified against the current bundle.
func (s *Source) config(use x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error { return s.verify(cs, use) },
	}
}

// Server returns the TLS configuration for accepting connections.
func (s *Source) Server() *tls.Config {
	c := s.config(x509.ExtKeyUsageClientAuth)
	c.ClientAuth = tls.RequireAnyClientCert // VerifyConnection verifies it against the current bundle
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.credentials().cert, nil }
	return c
}

// Client returns the TLS configuration for dialing connections.
func (s *Source) Client() *tls.Config {
	c := s.config(x509.ExtKeyUsageServerAuth)
	c.InsecureSkipVerify = true // VerifyConnection verifies the certificate; host names are not used
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.credentials().cert, nil }
	return c
}

// verify verifies the peer's certificate chain against the current bundle, and that the certificate contains a valid name.
func (s *Source) verify(cs tls.ConnectionState, use x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("identity: the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := cs.PeerCertificates[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: s.credentials().roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{use}}); err != nil {
		return fmt.Errorf("identity: verifying the peer's certificate: %w", err)
	}
	_, err := nameOf(leaf)
	return err
}

// PeerName returns the name in the peer's certificate of a verified connection.
func PeerName(cs tls.ConnectionState) Name {
	if len(cs.PeerCertificates) == 0 {
		return Name{}
	}
	name, _ := nameOf(cs.PeerCertificates[0]) // the handshake has verified the name
	return name
}
