package sdoperator

import (
	"context"
	"errors"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

// ErrNotSecured means that certificates were sent to a node that was started
// without TLS.
var ErrNotSecured = errors.New("this node was started without certificates; restart it with --tls-certificate, --tls-key and --tls-authorities")

// Security describes the certificate of a node.
type Security struct {
	// Secured reports whether the node uses TLS. The other fields are set only
	// then.
	Secured bool
	Role    sdtls.Role
	// NotAfter is when the certificate expires.
	NotAfter time.Time
}

// GetSecurity returns the description of the certificate in force.
func (s *Server) GetSecurity(context.Context) (*sdoperatorapi.Security, error) {
	return securityToAPI(s.node.Security()), nil
}

// ReplaceSecurity replaces the certificate, key and authorities, and the datagram
// keys if there are any in the request.
func (s *Server) ReplaceSecurity(_ context.Context, req *sdoperatorapi.SecurityChange) (*sdoperatorapi.Security, error) {
	pem := sdtls.PEM{Certificate: req.Certificate, Key: req.Key, Authorities: req.Authorities}
	err := s.node.ReplaceSecurity(pem, req.DatagramKeys.Or(""))
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
