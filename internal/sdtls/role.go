package sdtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
)

// Role is what the holder of a certificate may do. It is an organisational unit of
// the subject; the empty role allows nothing.
type Role string

// Roles of certificates.
const (
	// RoleNode may open links to nodes.
	RoleNode Role = "savorydeal-node"
	// RoleWrite may change policies; it includes RoleRead.
	RoleWrite Role = "savorydeal-write"
	// RoleRead may read policies, state and metrics.
	RoleRead Role = "savorydeal-read"
)

// Includes reports whether a holder of r may do what requires the other role.
func (r Role) Includes(required Role) bool {
	return r == required || r == RoleWrite && required == RoleRead
}

// roleOf returns the role of a certificate, or "" if it has none.
func roleOf(certificate *x509.Certificate) Role {
	for _, role := range []Role{RoleNode, RoleWrite, RoleRead} {
		if slices.Contains(certificate.Subject.OrganizationalUnit, string(role)) {
			return role
		}
	}
	return ""
}

type roleKey struct{}

// ConnContext is the ConnContext of an http.Server. It stores the role of the
// connection's peer for RoleFrom.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	secured := tlsConn(conn)
	if secured == nil {
		return ctx
	}
	chain := secured.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return ctx
	}
	return context.WithValue(ctx, roleKey{}, roleOf(chain[0]))
}

// RoleFrom returns the role of the peer from the context of a request, or "" if the
// connection does not use TLS or the peer has no role.
func RoleFrom(ctx context.Context) Role {
	role, _ := ctx.Value(roleKey{}).(Role)
	return role
}

// tlsConn unwraps a connection to its TLS connection. It returns nil if there is
// none.
func tlsConn(conn net.Conn) *tls.Conn {
	for conn != nil {
		if secured, ok := conn.(*tls.Conn); ok {
			return secured
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
