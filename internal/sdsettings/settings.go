// Package sdsettings defines the node's settings, with their flags, environment
// variables and defaults, and validates them.
package sdsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Settings are the settings of one node.
type Settings struct {
	// PeerAddress serves other nodes and identifies this node.
	PeerAddress string
	// CallerAddress serves external callers.
	CallerAddress string
	// OnwardAddress serves the onward calls of this VM's target.
	OnwardAddress string
	// AnnounceAddress serves the announcements of this VM's target.
	AnnounceAddress string
	// AdminAddress serves operators and metrics.
	AdminAddress string
	DataCentre   string
	Region       string
	// MeetingPoints are peer addresses of nodes to join through.
	MeetingPoints []string
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout time.Duration
	// StopGrace is how long callers are still served after the stop signal.
	// Meanwhile every answer closes its connection.
	StopGrace time.Duration
	LogLevel  string
	// MaxConnections bounds the open connections at the caller address; 0 derives the
	// bound from the descriptors that the process may open.
	MaxConnections int

	// TLSCertificate, TLSKey and TLSAuthorities are PEM texts. All are empty if
	// the node does not use TLS.
	TLSCertificate string
	TLSKey         string
	TLSAuthorities string
	// OperatorRole is "read" or "write": what operators may do at a node without
	// certificates.
	OperatorRole string
	// DatagramKeys are comma-separated keys for datagrams between nodes. The first
	// one signs; signatures with any of them are accepted.
	DatagramKeys string
	// TestLoss is the fraction of received datagrams that is dropped on
	// purpose, from 0 to 0.9.
	TestLoss float64
	// Overload has no flags.
	Overload Overload
}

const (
	// EnvPrefix is the prefix of every environment variable.
	EnvPrefix = "SAVORYDEAL_"

	minStopTimeout = time.Second
	maxStopTimeout = time.Hour
	maxTestLoss    = 0.9
	maxStopGrace   = time.Minute

	minMaxConnections = 16
	maxMaxConnections = 1_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// Setting describes one setting.
type Setting struct {
	// Flag is the name without the leading hyphens.
	Flag    string
	Default string
	Help    string
	parse   func(settings *Settings, text string) error
}

// Env returns the name of the environment variable.
func (s Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Flag, "-", "_"))
}

// Error means that the value of one setting is invalid.
type Error struct {
	Setting Setting
	Err     error
}

// Error returns the flag, the environment variable and the cause.
func (e Error) Error() string {
	return fmt.Sprintf("--%s (%s): %v", e.Setting.Flag, e.Setting.Env(), e.Err)
}

// Unwrap returns the cause.
func (e Error) Unwrap() error { return e.Err }

// All lists the settings in the order of the help page.
func All() []Setting {
	return []Setting{
		{Flag: "peer-address", Help: "IP address and port for other nodes; it identifies this node", parse: hostPort(func(s *Settings) *string { return &s.PeerAddress })},
		{Flag: "caller-address", Default: "127.0.0.1:7080", Help: "IP address and port for external callers", parse: hostPort(func(s *Settings) *string { return &s.CallerAddress })},
		{Flag: "onward-address", Default: "127.0.0.1:7081", Help: "loopback address and port for onward calls of this VM's target", parse: loopbackHostPort(func(s *Settings) *string { return &s.OnwardAddress })},
		{Flag: "announce-address", Default: "127.0.0.1:7082", Help: "loopback address and port for announcements of this VM's target", parse: loopbackHostPort(func(s *Settings) *string { return &s.AnnounceAddress })},
		{Flag: "admin-address", Default: "127.0.0.1:7083", Help: "IP address and port for the admin API, the state dump and metrics", parse: hostPort(func(s *Settings) *string { return &s.AdminAddress })},
		{Flag: "data-centre", Help: "data centre of this VM", parse: dataCentreOrRegion(func(s *Settings) *string { return &s.DataCentre })},
		{Flag: "region", Help: "region of this VM", parse: dataCentreOrRegion(func(s *Settings) *string { return &s.Region })},
		{Flag: "meeting-points", Help: "comma-separated peer addresses of nodes to join through", parse: meetingPoints},
		{Flag: "platform-url", Help: "base URL of the platform's object API", parse: platformURL},
		{Flag: "stop-timeout", Default: "30s", Help: "maximum duration of a graceful stop, such as 30s", parse: stopTimeout},
		{Flag: "stop-grace", Default: "3s", Help: "how long callers are still served after the stop signal, at most half of --stop-timeout", parse: stopGrace},
		{Flag: "tls-certificate", Help: "PEM text of this node's certificate; with it, links between nodes and the admin address use TLS", parse: unchecked(func(s *Settings) *string { return &s.TLSCertificate })},
		{Flag: "tls-key", Help: "PEM text of the certificate's private key; prefer the environment variable to the flag", parse: unchecked(func(s *Settings) *string { return &s.TLSKey })},
		{Flag: "tls-authorities", Help: "PEM text of the certificates of trusted certificate authorities", parse: unchecked(func(s *Settings) *string { return &s.TLSAuthorities })},
		{Flag: "datagram-keys", Help: "comma-separated keys that sign datagrams between nodes, each of at least 32 characters; required with certificates", parse: datagramKeys},
		{Flag: "operator-role", Default: "write", Help: "read or write: what operators may do at a node without certificates", parse: operatorRole},
		{Flag: "max-connections", Default: "0", Help: "open connections at the caller address; beyond it, idle ones are closed for new ones; 0 is half of the process's limit on open files, less 100", parse: maxConnections},
		{Flag: "test-loss", Default: "0", Help: "fraction of datagrams between nodes to drop, from 0 to 0.9, for tests only", parse: testLoss},
		{Flag: "log-level", Default: "info", Help: "debug, info, warn or error", parse: logLevel},
	}
}

// Parse parses and checks all settings. The function text returns the text of one
// setting. The result lists every invalid setting, not only the first.
func Parse(text func(Setting) string) (Settings, []Error) {
	var settings Settings
	var errs []Error
	for _, setting := range All() {
		if err := setting.parse(&settings, text(setting)); err != nil {
			errs = append(errs, Error{Setting: setting, Err: err})
		}
	}
	errs = append(errs, checkAddresses(settings)...)
	return settings, append(errs, checkSecurity(settings)...)
}

// checkAddresses rejects an address that two settings share, unless its port is 0.
func checkAddresses(settings Settings) []Error {
	used := make(map[string]string)
	var errs []Error
	for _, setting := range All() {
		address := addressOf(settings, setting.Flag)
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := used[address]; ok {
			errs = append(errs, Error{Setting: setting, Err: fmt.Errorf("is the same address as --%s; use a different port", other)})
		}
		used[address] = setting.Flag
	}
	return errs
}

func addressOf(settings Settings, flag string) string {
	switch flag {
	case "peer-address":
		return settings.PeerAddress
	case "caller-address":
		return settings.CallerAddress
	case "onward-address":
		return settings.OnwardAddress
	case "announce-address":
		return settings.AnnounceAddress
	case "admin-address":
		return settings.AdminAddress
	}
	return ""
}

// hostPort accepts an IP address and port.
func hostPort(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("%q is not an IP address and port; use a value such as 10.0.0.7:7000", text)
		}
		*field(settings) = text
		return nil
	}
}

// loopbackHostPort accepts a loopback IP address and port.
func loopbackHostPort(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, text string) error {
		parsed, err := netip.ParseAddrPort(text)
		if err != nil || !parsed.Addr().IsLoopback() {
			return fmt.Errorf("%q is not a loopback address and port; use a value such as 127.0.0.1:7081", text)
		}
		*field(settings) = text
		return nil
	}
}

// dataCentreOrRegion accepts the name of a data centre or region.
func dataCentreOrRegion(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, text string) error {
		if !namePattern.MatchString(text) {
			return fmt.Errorf("invalid name %q; use at most 32 lower-case letters, digits and hyphens, starting with a letter or digit", text)
		}
		*field(settings) = text
		return nil
	}
}

func meetingPoints(settings *Settings, text string) error {
	if text == "" {
		return nil
	}
	for _, point := range strings.Split(text, ",") {
		point = strings.TrimSpace(point)
		if _, err := netip.ParseAddrPort(point); err != nil {
			return fmt.Errorf("%q is not an IP address and port; use a list such as 10.0.0.7:7000,10.0.1.7:7000", point)
		}
		settings.MeetingPoints = append(settings.MeetingPoints, point)
	}
	return nil
}

func platformURL(settings *Settings, text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fmt.Errorf("%q is not an HTTP URL; use a value such as http://10.0.0.2:8000", text)
	}
	settings.PlatformURL = text
	return nil
}

func stopTimeout(settings *Settings, text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < minStopTimeout || parsed > maxStopTimeout {
		return fmt.Errorf("%q is not a duration from %v to %v; use a value such as 30s", text, minStopTimeout, maxStopTimeout)
	}
	settings.StopTimeout = parsed
	return nil
}

func testLoss(settings *Settings, text string) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || parsed < 0 || parsed > maxTestLoss {
		return fmt.Errorf("%q is not a number from 0 to %v; use a value such as 0.02", text, maxTestLoss)
	}
	settings.TestLoss = parsed
	return nil
}

func maxConnections(settings *Settings, text string) error {
	parsed, err := strconv.Atoi(text)
	if err != nil || parsed != 0 && (parsed < minMaxConnections || parsed > maxMaxConnections) {
		return fmt.Errorf("%q is not 0 or a number from %d to %d; use a value such as 2000", text, minMaxConnections, maxMaxConnections)
	}
	settings.MaxConnections = parsed
	return nil
}

func stopGrace(settings *Settings, text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 || parsed > maxStopGrace {
		return fmt.Errorf("%q is not a duration from 0s to %v; use a value such as 3s", text, maxStopGrace)
	}
	settings.StopGrace = parsed
	return nil
}

func logLevel(settings *Settings, text string) error {
	switch text {
	case "debug", "info", "warn", "error":
		settings.LogLevel = text
		return nil
	}
	return fmt.Errorf("invalid log level %q; use debug, info, warn or error", text)
}

// Flags returns command line arguments that Parse turns into these settings, except
// for Overload.
func (s Settings) Flags() []string {
	flags := []string{
		"--peer-address", s.PeerAddress,
		"--caller-address", s.CallerAddress,
		"--onward-address", s.OnwardAddress,
		"--announce-address", s.AnnounceAddress,
		"--admin-address", s.AdminAddress,
		"--data-centre", s.DataCentre,
		"--region", s.Region,
		"--platform-url", s.PlatformURL,
		"--stop-timeout", s.StopTimeout.String(),
		"--stop-grace", s.StopGrace.String(),
		"--log-level", s.LogLevel,
		"--max-connections", strconv.Itoa(s.MaxConnections),
		"--test-loss", strconv.FormatFloat(s.TestLoss, 'f', -1, 64),
	}
	for _, optional := range []struct{ flag, value string }{
		{"--tls-certificate", s.TLSCertificate},
		{"--tls-key", s.TLSKey},
		{"--tls-authorities", s.TLSAuthorities},
		{"--operator-role", s.OperatorRole},
		{"--datagram-keys", s.DatagramKeys},
	} {
		if optional.value != "" {
			flags = append(flags, optional.flag, optional.value)
		}
	}
	if len(s.MeetingPoints) > 0 {
		flags = append(flags, "--meeting-points", strings.Join(s.MeetingPoints, ","))
	}
	return flags
}
