package identity

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(filepath.Join(t.TempDir(), "ca"), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *Authority, role Role, name string, validity time.Duration) Files {
	t.Helper()
	f, err := a.Issue(Name{role, name}, validity, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func open(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := Open(f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake performs a TLS handshake over a pipe. It returns the peer's name and the error as seen by the server (index 0) and
// by the client (index 1).
func handshake(server, client *tls.Config) (peers [2]Name, errs [2]error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan struct{})
	s, c := tls.Server(a, server), tls.Client(b, client)
	go func() {
		defer close(done)
		if errs[0] = s.Handshake(); errs[0] == nil {
			peers[0] = PeerName(s.ConnectionState())
			s.Write([]byte{1})
		} else {
			a.Close()
		}
	}()
	if errs[1] = c.Handshake(); errs[1] == nil {
		peers[1] = PeerName(c.ConnectionState())
		_, errs[1] = c.Read(make([]byte, 1)) // a TLS 1.3 client receives the rejection of its certificate after its handshake
	}
	b.Close()
	<-done
	return peers, errs
}

func TestAuthorization(t *testing.T) {
	a, other := authority(t), authority(t)
	core := open(t, issue(t, a, QuorumMember, "c1", time.Hour/2))
	node := open(t, issue(t, a, Node, "n1", time.Hour/2))
	peers, errs := handshake(core.Server(), node.Client())
	if errs[0] != nil || errs[1] != nil || peers[0] != (Name{Node, "n1"}) || peers[1] != (Name{QuorumMember, "c1"}) {
		t.Fatalf("handshake returned peers %v, errors %v", peers, errs)
	}
	untrusted := issue(t, other, Node, "n1", time.Hour/2)
	untrusted.Bundle = a.Bundle()
	expired := issue(t, a, Node, "n1", time.Millisecond)
	for end := open(t, expired).NotAfter(); !time.Now().After(end); { // X.509 times have whole seconds, so the wait is short
		runtime.Gosched()
	}
	operator := open(t, issue(t, a, Operator, "ann", time.Hour/2))
	tls12 := node.Client()
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	withoutCert := node.Client()
	withoutCert.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return new(tls.Certificate), nil }
	for name, c := range map[string][2]*tls.Config{
		"a client certificate of an untrusted authority": {core.Server(), open(t, untrusted).Client()},
		"a server certificate of an untrusted authority": {open(t, untrusted).Server(), node.Client()},
		"an expired certificate":                         {core.Server(), open(t, expired).Client()},
		"an operator certificate on a server":            {operator.Server(), node.Client()},
		"TLS 1.2":                                        {core.Server(), tls12},
		"no certificate":                                 {core.Server(), withoutCert},
	} {
		if _, errs := handshake(c[0], c[1]); errs[0] == nil && errs[1] == nil {
			t.Errorf("%s: the handshake succeeded", name)
		}
	}
}

// TestFileReload checks that new connections use replaced files, that an authority can be rotated without a failed
// connection, and that an incomplete change keeps the previous credentials.
func TestFileReload(t *testing.T) {
	a := authority(t)
	files := issue(t, a, QuorumMember, "c1", time.Hour/2)
	server, client := open(t, files), open(t, issue(t, a, Node, "n1", time.Hour/2))
	expireCheck := func(s *Source) {
		s.mu.Lock()
		s.nextCheckAt = time.Time{}
		s.mu.Unlock()
	}
	check := func(name string, want bool) {
		t.Helper()
		expireCheck(server)
		expireCheck(client)
		if _, errs := handshake(server.Server(), client.Client()); (errs[0] == nil && errs[1] == nil) != want {
			t.Errorf("%s: handshake errors %v", name, errs)
		}
	}
	if err := os.WriteFile(files.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	check("partially written key", true)
	if err := a.Rotate(time.Hour); err != nil {
		t.Fatal(err)
	}
	reissued, err := a.Issue(Name{QuorumMember, "c1"}, time.Hour/2, filepath.Dir(files.Cert))
	if err != nil || reissued.Cert != files.Cert {
		t.Fatalf("Issue returned files %v, error %v", reissued, err)
	}
	check("server certificate from the new authority", true)
	if err := a.Retire(); err != nil {
		t.Fatal(err)
	}
	check("client certificate from the retired authority", false)
	client = open(t, issue(t, a, Node, "n1", time.Hour/2))
	check("both certificates from the new authority, without a restart of the server", true)
}

func TestNamesAndAuthoritiesAreChecked(t *testing.T) {
	a := authority(t)
	for _, n := range []Name{{"unknown", "x"}, {QuorumMember, ""}, {QuorumMember, "a/b"}} {
		if _, err := a.Issue(n, time.Minute, t.TempDir()); err == nil {
			t.Errorf("a certificate for the invalid name %q was issued", n)
		}
	}
	if _, err := a.Issue(Name{QuorumMember, "x"}, 2*time.Hour, t.TempDir()); err == nil || !strings.Contains(err.Error(), "beyond the authority's") {
		t.Errorf("issuing a certificate that outlives its authority: error %v", err)
	}
	if _, err := NewAuthority(filepath.Dir(a.Bundle()), time.Hour); err == nil {
		t.Error("NewAuthority replaced an existing authority")
	}
	if _, err := OpenAuthority(t.TempDir()); err == nil {
		t.Error("OpenAuthority succeeded in an empty folder")
	}
	f := issue(t, a, QuorumMember, "x", time.Minute)
	f.Bundle = f.Key
	if _, err := Open(f, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("Open accepted a bundle without certificates")
	}
}
