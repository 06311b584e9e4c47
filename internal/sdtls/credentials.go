// Package sdtls secures the links between nodes and the admin address with mutual
// TLS. Certificates are given as PEM text instead of files, so that no disk
// is needed, and can be replaced while the node runs.
package sdtls

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"
	"time"
)

// PEM holds a certificate, its key and the trusted authorities as PEM text.
type PEM struct {
	// Certificate is the certificate of this process, followed by the
	// intermediate certificates.
	Certificate string
	// Key is the private key of Certificate.
	Key string
	// Authorities are the certificates of the trusted authorities.
	Authorities string
}

// Empty reports whether nothing is set. Links then use plain TCP.
func (p PEM) Empty() bool {
	return p.Certificate == "" && p.Key == "" && p.Authorities == ""
}

// Credentials are a parsed and checked certificate with its key, and the trusted
// authorities.
type Credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// NotAfter is the time at which the certificate expires.
	NotAfter time.Time
	// Role is the role of this process.
	Role Role
}

// ParseError means that a part of a PEM is invalid or does not fit the others.
type ParseError struct {
	// Part is the part of the input, such as "certificate".
	Part   string
	Remedy string
	Cause  error
}

// Error returns the part, the cause and the remedy.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s: %v; %s", e.Part, e.Cause, e.Remedy)
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Cause }

// Parse returns checked credentials: the key belongs to the certificate, which is
// signed by one of the authorities, valid at the time now, and has a role. It
// returns a *ParseError otherwise.
func Parse(now time.Time, text PEM) (*Credentials, error) {
	pool, err := parseAuthorities(text.Authorities)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(unescape(text.Certificate), unescape(text.Key))
	if err != nil {
		return nil, &ParseError{Part: "certificate and key", Remedy: "give PEM text of a certificate and of the key that belongs to it", Cause: err}
	}
	c := &Credentials{certificate: certificate, authorities: pool, NotAfter: certificate.Leaf.NotAfter}
	if err := c.verify(now, certificateChain(certificate)); err != nil {
		return nil, &ParseError{Part: "certificate", Remedy: "use a valid certificate that is signed by one of the authorities", Cause: err}
	}
	c.Role = roleOf(certificate.Leaf)
	if c.Role == "" {
		return nil, &ParseError{
			Part: "certificate", Cause: errors.New("no role in its organisational unit"),
			Remedy: "set the organisational unit to " + string(RoleNode) + ", " + string(RoleWrite) + " or " + string(RoleRead),
		}
	}
	return c, nil
}

// parseAuthorities returns a pool of all certificates of the text, at least one.
func parseAuthorities(text string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	rest := bytes.TrimSpace(unescape(text))
	found := 0
	for len(rest) > 0 {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		authority, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &ParseError{Part: "authorities", Remedy: "give PEM text of certificates", Cause: err}
		}
		pool.AddCert(authority)
		found++
	}
	if found == 0 {
		return nil, &ParseError{Part: "authorities", Remedy: "give PEM text of at least one certificate", Cause: errors.New("no certificate found")}
	}
	return pool, nil
}

// unescape replaces the two characters \n by a line end: many tools cannot set an
// environment variable to a text with line ends.
func unescape(text string) []byte {
	return []byte(strings.ReplaceAll(text, `\n`, "\n"))
}

// certificateChain returns the certificate and its intermediate certificates. It
// skips those that cannot be parsed.
func certificateChain(certificate tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{certificate.Leaf}
	for _, der := range certificate.Certificate[1:] {
		if parsed, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, parsed)
		}
	}
	return chain
}

// verify checks that the chain, leaf certificate first, is valid and leads to one of
// the authorities. Host names are not compared, since VMs are replaced all the
// time: access depends on the role that the authority has signed.
func (c *Credentials) verify(now time.Time, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("no certificate given")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         c.authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
