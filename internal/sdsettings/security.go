package sdsettings

import (
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

// Values of the setting operator-role.
const (
	operatorRead  = "read"
	operatorWrite = "write"
)

// Security returns the certificate settings.
func (s Settings) Security() sdtls.PEM {
	return sdtls.PEM{Certificate: s.TLSCertificate, Key: s.TLSKey, Authorities: s.TLSAuthorities}
}

// Role returns the role of operators at a node without certificates.
func (s Settings) Role() sdtls.Role {
	if s.OperatorRole == operatorRead {
		return sdtls.RoleRead
	}
	return sdtls.RoleWrite
}

// unchecked accepts any text, because checkSecurity checks it with the others.
func unchecked(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, text string) error {
		*field(settings) = text
		return nil
	}
}

func datagramKeys(settings *Settings, text string) error {
	if text == "" {
		return nil
	}
	if _, err := sdgossip.ParseKeys(text); err != nil {
		return err
	}
	settings.DatagramKeys = text
	return nil
}

func operatorRole(settings *Settings, text string) error {
	switch text {
	case operatorRead, operatorWrite:
		settings.OperatorRole = text
		return nil
	}
	return fmt.Errorf("invalid role %q; use %s or %s", text, operatorRead, operatorWrite)
}

// checkSecurity rejects an incomplete set of certificate settings and certificates
// with which the node could not connect to other nodes.
func checkSecurity(settings Settings) []Error {
	if settings.Security().Empty() {
		return nil
	}
	var errs []Error
	for _, setting := range All() {
		if settings.lacksSecurity(setting.Flag) {
			errs = append(errs, Error{Setting: setting, Err: errors.New("is empty; set all of --tls-certificate, --tls-key, --tls-authorities and --datagram-keys, or none of the first three")})
		}
	}
	if len(errs) > 0 {
		return errs
	}
	credentials, err := sdtls.Parse(time.Now(), settings.Security())
	if err == nil && credentials.Role != sdtls.RoleNode {
		err = fmt.Errorf("the certificate's role is %s; set its organisational unit to %s", credentials.Role, sdtls.RoleNode)
	}
	if err == nil {
		return nil
	}
	for _, setting := range All() {
		if setting.Flag == "tls-certificate" {
			return []Error{{Setting: setting, Err: err}}
		}
	}
	return nil
}

// lacksSecurity reports whether the flag is one of the security settings and empty.
func (s Settings) lacksSecurity(flag string) bool {
	switch flag {
	case "tls-certificate":
		return s.TLSCertificate == ""
	case "tls-key":
		return s.TLSKey == ""
	case "tls-authorities":
		return s.TLSAuthorities == ""
	case "datagram-keys":
		return s.DatagramKeys == ""
	}
	return false
}
