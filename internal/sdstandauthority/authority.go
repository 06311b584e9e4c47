// Package sdstandauthority is a small stand-in for a certificate authority, for
// tests.
package sdstandauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdtls"
)

const (
	authorityLifetime = 1000 * time.Hour
	// maxClockSkew is how long before its signing a certificate becomes valid,
	// since clocks differ.
	maxClockSkew = time.Hour
)

// Authority signs certificates. It is not safe for concurrent use.
type Authority struct {
	// CertificatePEM is the authority's own, self-signed certificate.
	CertificatePEM string

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	now         time.Time
	// lastSerial is the serial number of the last certificate.
	lastSerial int64
}

// New returns an authority with the common name. Its certificates are valid from
// one hour before now.
func New(name string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create the authority's key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create the authority's certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse the authority's certificate: %w", err)
	}
	return &Authority{CertificatePEM: encode("CERTIFICATE", der), certificate: certificate, key: key, now: now, lastSerial: 1}, nil
}

// Sign returns a certificate for the organisational unit, with its key and this
// authority's certificate. It expires lifetime after the time given to New.
func (a *Authority) Sign(unit string, lifetime time.Duration) (sdtls.PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return sdtls.PEM{}, fmt.Errorf("create key: %w", err)
	}
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: "vm-7", OrganizationalUnit: []string{unit}},
		NotBefore:    a.now.Add(-maxClockSkew),
		NotAfter:     a.now.Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return sdtls.PEM{}, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return sdtls.PEM{}, fmt.Errorf("encode key: %w", err)
	}
	return sdtls.PEM{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", keyDER), Authorities: a.CertificatePEM}, nil
}

// encode returns a PEM block of the type.
func encode(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
