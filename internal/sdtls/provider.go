package sdtls

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Provider holds the credentials in force and makes TLS configurations from them.
// It is safe for concurrent use.
type Provider struct {
	clock       savorydeal.Clock
	credentials atomic.Pointer[Credentials]
}

// NewProvider returns a provider with these credentials in force.
func NewProvider(clock savorydeal.Clock, credentials *Credentials) *Provider {
	p := &Provider{clock: clock}
	p.credentials.Store(credentials)
	return p
}

// Credentials returns the credentials in force.
func (p *Provider) Credentials() *Credentials {
	return p.credentials.Load()
}

// Replace parses and checks other credentials and uses them for all later
// handshakes. Established connections are not affected. The role must stay the
// same.
func (p *Provider) Replace(text PEM) (*Credentials, error) {
	credentials, err := Parse(p.clock.Now(), text)
	if err != nil {
		return nil, err
	}
	if current := p.credentials.Load().Role; credentials.Role != current {
		return nil, &ParseError{
			Part: "certificate", Cause: fmt.Errorf("has role %s", credentials.Role),
			Remedy: "this process needs " + string(current),
		}
	}
	p.credentials.Store(credentials)
	return credentials, nil
}

// config returns the configuration of a client or a server that accepts peers
// with one of the roles. InsecureSkipVerify disables the verification of
// crypto/tls, because it compares host names and a VM that replaces another has a
// different name. VerifyConnection takes its place.
func (p *Provider) config(peers []Role) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &p.credentials.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &p.credentials.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return p.check(state, peers) },
	}
}

// PeerError means that the certificate of the peer was rejected. Subject is empty
// if the peer sent none.
type PeerError struct {
	Subject string
	Cause   error
}

// Error returns the subject of the certificate and the cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("certificate of %q not accepted: %v", e.Subject, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// check verifies the certificate chain and the role of a peer.
func (p *Provider) check(state tls.ConnectionState, peers []Role) error {
	chain := state.PeerCertificates
	subject := ""
	if len(chain) > 0 {
		subject = chain[0].Subject.String()
	}
	if err := p.credentials.Load().verify(p.clock.Now(), chain); err != nil {
		return &PeerError{Subject: subject, Cause: err}
	}
	role := roleOf(chain[0])
	if !slices.ContainsFunc(peers, role.Includes) {
		return &PeerError{Subject: subject, Cause: fmt.Errorf("role %q, but one of %q is required", role, peers)}
	}
	return nil
}

// Dial opens a TLS connection to a node and completes the handshake within the
// timeout.
func (p *Provider) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialer := tls.Dialer{Config: p.config([]Role{RoleNode})}
	return dialer.DialContext(ctx, "tcp", address)
}

// ClientConfig returns the TLS configuration of an operator's client, which accepts
// nodes only.
func (p *Provider) ClientConfig() *tls.Config {
	return p.config([]Role{RoleNode})
}
