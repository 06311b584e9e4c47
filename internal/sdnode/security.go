package sdnode

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdproblem"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

// secureDialTimeout bounds the dial of a secured link, including its handshake.
const secureDialTimeout = 2 * time.Second

// secure applies the certificates of the settings to links and to the admin
// address. Without certificates both use plain TCP.
func (n *Node) secure(l *listeners) error {
	if err := n.secureDatagrams(); err != nil {
		return err
	}
	certificates := n.settings.Security()
	if certificates.Empty() {
		return nil
	}
	credentials, err := sdtls.Parse(n.clock.Now(), certificates)
	if err != nil {
		return fmt.Errorf("link security: %w", err)
	}
	provider := sdtls.NewProvider(n.clock, credentials)
	n.tlsProvider.Store(provider)
	n.links.SetDialer(func(address string) (net.Conn, error) {
		return provider.Dial(address, secureDialTimeout)
	})
	log := n.log.Named("tls")
	l.peer = provider.Listen(l.peer, log, sdtls.RoleNode)
	l.admin = provider.Listen(l.admin, log, sdtls.RoleRead, sdtls.RoleWrite)
	n.metrics.Gauge("certificate_seconds_left", "Seconds until this node's certificate expires.", func() float64 {
		return provider.Credentials().NotAfter.Sub(n.clock.Now()).Seconds()
	})
	return nil
}

// secureDatagrams makes the node sign and verify datagrams if the settings have
// keys for them.
func (n *Node) secureDatagrams() error {
	if n.settings.DatagramKeys == "" {
		return nil
	}
	keyring, err := sdgossip.NewKeyring(n.settings.DatagramKeys)
	if err != nil {
		return fmt.Errorf("datagram keys: %w", err)
	}
	n.keyring.Store(keyring)
	n.metrics.Counter("datagrams_refused_total", "Received datagrams dropped because they had no valid signature.", func() float64 {
		return float64(keyring.Refused())
	})
	return nil
}

// Metrics returns the handler of the node's metrics.
func (n *Node) Metrics() http.Handler {
	return n.metrics.Handler()
}

// Security returns the role and expiry of the certificate in force.
func (n *Node) Security() sdoperator.Security {
	provider := n.tlsProvider.Load()
	if provider == nil {
		return sdoperator.Security{}
	}
	credentials := provider.Credentials()
	return sdoperator.Security{Secured: true, Role: credentials.Role, NotAfter: credentials.NotAfter}
}

// ReplaceSecurity replaces the certificates and, unless datagramKeys is empty, the
// keys of datagrams.
func (n *Node) ReplaceSecurity(certificates sdtls.PEM, datagramKeys string) error {
	provider := n.tlsProvider.Load()
	if provider == nil {
		return sdoperator.ErrNotSecured
	}
	keyring := n.keyring.Load()
	if datagramKeys != "" {
		_, err := sdgossip.ParseKeys(datagramKeys)
		if err == nil && keyring == nil {
			err = errNoDatagramKeys
		}
		if err != nil {
			return &sdtls.ParseError{Part: "datagram_keys", Cause: err, Remedy: "start the node with datagram keys, and separate keys by commas"}
		}
	}
	credentials, err := provider.Replace(certificates)
	if err != nil {
		return err
	}
	if datagramKeys != "" {
		if err := keyring.Replace(datagramKeys); err != nil {
			return err
		}
	}
	n.log.Info("certificates replaced", "not_after", credentials.NotAfter.UTC().Format(time.RFC3339))
	return nil
}

var errNoDatagramKeys = errors.New("the node was started without datagram keys")

// requireRole refuses requests that the operator's role does not allow. The role
// comes from the operator's certificate or, without link security, from a setting
// of the node.
func (n *Node) requireRole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		granted := n.settings.Role()
		if n.tlsProvider.Load() != nil {
			granted = sdtls.RoleFrom(r.Context())
		}
		needed := sdtls.RoleWrite
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			needed = sdtls.RoleRead
		}
		if !granted.Includes(needed) {
			n.log.Warn("operator refused", "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path,
				"role", string(granted), "needed", string(needed))
			writeForbidden(w, granted, needed)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// forbidden is the problem document of a refused operator request.
type forbidden struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
	Outcome string `json:"outcome"`
}

func writeForbidden(w http.ResponseWriter, granted, needed sdtls.Role) {
	w.Header().Set("Content-Type", sdproblem.ContentType)
	w.WriteHeader(http.StatusForbidden)
	_ = json.NewEncoder(w).Encode(forbidden{
		Type:    "about:blank",
		Title:   http.StatusText(http.StatusForbidden),
		Status:  http.StatusForbidden,
		Detail:  fmt.Sprintf("the request needs role %s, but the operator has role %q", needed, granted),
		Remedy:  "use a certificate whose organisational unit is " + string(needed),
		Outcome: string(savorydeal.OutcomeNotRun),
	})
}
