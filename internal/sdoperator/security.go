package sdoperator

import (
	"context"
	"errors"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

// ErrNotSecured means that a key was sent to a node whose address is plain.
var ErrNotSecured = errors.New("this node was started without certificates; start it anew with --tls-certificate, --tls-key and --tls-authorities")

// Security is what a node says of its certificates.
type Security struct {
	Secured  bool
	Role     sdtls.Role
	NotAfter time.Time
}

// GetSecurity describes the certificate in force.
func (s *Server) GetSecurity(context.Context) (*sdoperatorapi.Security, error) {
	return securityToAPI(s.node.Security()), nil
}

// ReplaceSecurity puts other certificates in force.
func (s *Server) ReplaceSecurity(_ context.Context, req *sdoperatorapi.SecurityChange) (*sdoperatorapi.Security, error) {
	text := sdtls.PEM{Certificate: req.Certificate, Key: req.Key, Authorities: req.Authorities}
	err := s.node.ReplaceSecurity(text, req.DatagramKeys.Or(""))
	if err != nil {
		return nil, err
	}
	return securityToAPI(s.node.Security()), nil
}

func securityToAPI(security Security) *sdoperatorapi.Security {
	mapped := &sdoperatorapi.Security{Secured: security.Secured}
	if security.Secured {
		mapped.Role = sdoperatorapi.NewOptString(string(security.Role))
		mapped.NotAfter = sdoperatorapi.NewOptDateTime(security.NotAfter)
	}
	return mapped
}
