// Package identity authenticates processes and operators by certificates (X.509, RFC 5280; TLS 1.3, RFC 8446): each names
// the role and the name of its holder, and is trusted by a bundle of authorities. Files may be replaced while a process
// runs: new connections use the new ones, open connections stay.
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

// Role decides what the holder of a certificate may do.
type Role string

// The roles. A certificate has exactly one. Their texts are frozen, as they are in certificates.
const (
	QuorumMember Role = "core"     // a quorum member
	Node         Role = "node"     // a sidecar machine
	Operator     Role = "operator" // a person or tool that may change the configuration and read backups
)

var roles = []Role{QuorumMember, Node, Operator}

const (
	scheme        = "ivydeck" // of the URI in a certificate: ivydeck://ROLE/NAME
	checkInterval = time.Second
)

// Name is the holder of a certificate.
type Name struct {
	Role Role
	Name string // node_name of the machine, or the operator's name
}

func (n Name) String() string { return string(n.Role) + " " + n.Name }

// URI is the name as a certificate has it.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(n.Role), Path: "/" + n.Name}
}

// Of reads the name in a certificate, which has to have exactly one.
func Of(cert *x509.Certificate) (name Name, err error) {
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
		return Name{}, fmt.Errorf("identity: the certificate has %d names of the form %s://ROLE/NAME, not one", found, scheme)
	case name.Name == "" || strings.Contains(name.Name, "/"):
		return Name{}, fmt.Errorf("identity: the certificate's name is %q", name.Name)
	}
	for _, r := range roles {
		if name.Role == r {
			return name, nil
		}
	}
	return Name{}, fmt.Errorf("identity: the certificate's role is %q, none of %v", name.Role, roles)
}

// Files are where a process finds its identity, all in PEM.
type Files struct {
	Cert   string // its certificate, and those that lead up to an authority
	Key    string // its private key
	Bundle string // the authorities that it trusts
}

// credentials are the content of the files.
type credentials struct {
	cert  *tls.Certificate
	name  Name
	roots *x509.CertPool
}

// Source is an identity that follows its files.
type Source struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex
	current     credentials
	lastStamp   string    // of the files as they were read last, usable or not
	nextCheckAt time.Time // the files are not checked before
}

// Open reads an identity. The error says which file is at fault.
func Open(files Files, log *slog.Logger) (*Source, error) {
	h, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Source{files: files, log: log, current: h, lastStamp: stamp(files), nextCheckAt: time.Now().Add(checkInterval)}, nil
}

func read(files Files) (credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return credentials{}, fmt.Errorf("identity: %s with %s: %w", files.Cert, files.Key, err)
	}
	name, err := Of(cert.Leaf)
	if err != nil {
		return credentials{}, fmt.Errorf("%s: %w", files.Cert, err)
	}
	bundle, err := os.ReadFile(files.Bundle)
	if err != nil {
		return credentials{}, fmt.Errorf("identity: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(bundle) {
		return credentials{}, fmt.Errorf("identity: %s holds no certificate", files.Bundle)
	}
	return credentials{&cert, name, roots}, nil
}

// stamp changes when one of the files does.
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

// credentials returns the content of the files. Files that can't be used, such as a certificate whose key has not been
// written yet, are logged, and what was read before stays in use.
func (s *Source) credentials() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.After(s.nextCheckAt) {
		s.nextCheckAt = now.Add(checkInterval)
		if newStamp := stamp(s.files); newStamp != s.lastStamp {
			s.lastStamp = newStamp
			if h, err := read(s.files); err != nil {
				s.log.Error("identity.reload_failed", "err", err)
			} else {
				s.current = h
				s.log.Info("identity.reloaded", "name", h.name.String(), "not_after", h.cert.Leaf.NotAfter)
			}
		}
	}
	return s.current
}

// Name is the holder of the identity.
func (s *Source) Name() Name { return s.credentials().name }

// NotAfter is when the certificate expires.
func (s *Source) NotAfter() time.Time { return s.credentials().cert.Leaf.NotAfter }

// Remaining is the time until the certificate expires; without a source it is -1 s.
func (s *Source) Remaining() time.Duration {
	if s == nil {
		return -time.Second
	}
	return time.Until(s.NotAfter())
}

// config is the part that both sides share. Sessions are not resumed: each connection is verified by the present bundle.
func (s *Source) config(use x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error { return s.verify(cs, use) },
	}
}

// Server is the configuration of a side that accepts.
func (s *Source) Server() *tls.Config {
	c := s.config(x509.ExtKeyUsageClientAuth)
	c.ClientAuth = tls.RequireAnyClientCert // verified by the bundle, which may change
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.credentials().cert, nil }
	return c
}

// Client is the configuration of a side that connects.
func (s *Source) Client() *tls.Config {
	c := s.config(x509.ExtKeyUsageServerAuth)
	c.InsecureSkipVerify = true // of host names, which say nothing here: VerifyConnection does what counts
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.credentials().cert, nil }
	return c
}

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
		return fmt.Errorf("identity: the peer's certificate: %w", err)
	}
	_, err := Of(leaf)
	return err
}

// PeerName is the holder of the certificate of a verified connection's other side.
func PeerName(cs tls.ConnectionState) Name {
	if len(cs.PeerCertificates) == 0 {
		return Name{}
	}
	name, _ := Of(cs.PeerCertificates[0]) // verified in the handshake
	return name
}
