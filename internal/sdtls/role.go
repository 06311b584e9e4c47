package sdtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
)

// Role is what the holder of a certificate may do: an organisational unit of
// its subject.
type Role string

// Roles.
const (
	// RoleNode opens links to nodes.
	RoleNode Role = "savorydeal-node"
	// RoleWrite changes policies; it includes RoleRead.
	RoleWrite Role = "savorydeal-write"
	// RoleRead reads policies, state and metrics.
	RoleRead Role = "savorydeal-read"
)

// Includes reports whether a holder of r may do what needs the other role.
func (r Role) Includes(needed Role) bool {
	return r == needed || r == RoleWrite && needed == RoleRead
}

// roleOf returns the role of a certificate, empty if it names none.
func roleOf(certificate *x509.Certificate) Role {
	for _, role := range []Role{RoleNode, RoleWrite, RoleRead} {
		if slices.Contains(certificate.Subject.OrganizationalUnit, string(role)) {
			return role
		}
	}
	return ""
}

type roleKey struct{}

// ConnContext is for http.Server: it keeps the role of a connection's peer.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	secure := tlsConn(conn)
	if secure == nil {
		return ctx
	}
	chain := secure.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return ctx
	}
	return context.WithValue(ctx, roleKey{}, roleOf(chain[0]))
}

// RoleFrom returns the role of the peer of a request, empty if its connection
// is not secured.
func RoleFrom(ctx context.Context) Role {
	role, _ := ctx.Value(roleKey{}).(Role)
	return role
}

// tlsConn finds the TLS connection within those that wrap it.
func tlsConn(conn net.Conn) *tls.Conn {
	for conn != nil {
		if secure, ok := conn.(*tls.Conn); ok {
			return secure
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
