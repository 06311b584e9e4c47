package sdcli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

// Environment variables with the operator's own certificate, key and authorities, as
// PEM texts.
const (
	envCertificate = "SAVORYDEAL_TLS_CERTIFICATE"
	envKey         = "SAVORYDEAL_TLS_KEY"
	envAuthorities = "SAVORYDEAL_TLS_AUTHORITIES"
)

func securityFromEnvironment(environment func(string) (string, bool)) sdtls.PEM {
	read := func(name string) string {
		if value, ok := environment(name); ok {
			return value
		}
		return ""
	}
	return sdtls.PEM{Certificate: read(envCertificate), Key: read(envKey), Authorities: read(envAuthorities)}
}

// connect returns a client for the node's admin API, which uses TLS if the operator
// has certificates.
func (c *client) connect() (*sdoperatorapi.Client, error) {
	if c.security.Empty() {
		return sdoperatorapi.NewClient("http://" + c.options.admin)
	}
	credentials, err := sdtls.Parse(time.Now(), c.security)
	if err != nil {
		return nil, fmt.Errorf("environment variables %s, %s and %s: %w", envCertificate, envKey, envAuthorities, err)
	}
	provider := sdtls.NewProvider(sdclock.System{}, credentials)
	transport := &http.Transport{TLSClientConfig: provider.ClientConfig()}
	return sdoperatorapi.NewClient("https://"+c.options.admin, sdoperatorapi.WithClient(&http.Client{Transport: transport}))
}

func securityCommands(o *options, security *flaggy.Subcommand) []command {
	show := flaggy.NewSubcommand("show")
	show.Description = "show the certificate in force at the node"
	replace := flaggy.NewSubcommand("replace")
	replace.Description = "replace the certificates of the node"
	replace.String(&o.certificateFile, "c", "certificate", "PEM file of the node's certificate")
	replace.String(&o.keyFile, "k", "key", "PEM file of the certificate's private key")
	replace.String(&o.authoritiesFile, "u", "authorities", "PEM file of the trusted certificate authorities")
	replace.String(&o.datagramKeysFile, "d", "datagram-keys", "file of comma-separated datagram keys; default the keys in force")
	security.AttachSubcommand(show, 1)
	security.AttachSubcommand(replace, 1)
	return []command{{show, runSecurityShow}, {replace, runSecurityReplace}}
}

func runSecurityShow(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	security, err := c.api.GetSecurity(ctx)
	if err != nil {
		return err
	}
	return c.printSecurity(security)
}

func runSecurityReplace(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var change sdoperatorapi.SecurityChange
	for _, item := range []struct {
		file string
		flag string
		text *string
	}{
		{c.options.certificateFile, "certificate", &change.Certificate},
		{c.options.keyFile, "key", &change.Key},
		{c.options.authoritiesFile, "authorities", &change.Authorities},
	} {
		content, err := os.ReadFile(item.file)
		if err != nil {
			return &usageError{text: fmt.Sprintf("--%s: %v", item.flag, err)}
		}
		*item.text = string(content)
	}
	if file := c.options.datagramKeysFile; file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return &usageError{text: fmt.Sprintf("--datagram-keys: %v", err)}
		}
		change.DatagramKeys = sdoperatorapi.NewOptString(strings.TrimSpace(string(content)))
	}
	security, err := c.api.ReplaceSecurity(ctx, &change)
	if err != nil {
		return err
	}
	return c.printSecurity(security)
}

func (c *client) printSecurity(security *sdoperatorapi.Security) error {
	if c.jsonOutput() {
		return c.printJSON(security)
	}
	rows := [][]string{{"SECURED", "ROLE", "NOT AFTER"}}
	notAfter := ""
	if expiry, ok := security.NotAfter.Get(); ok {
		notAfter = expiry.Format(time.RFC3339)
	}
	return c.printTable(append(rows, []string{fmt.Sprint(security.Secured), security.Role.Or(""), notAfter}))
}
