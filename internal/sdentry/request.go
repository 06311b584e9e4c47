package sdentry

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

const (
	maxKeyBytes    = 255
	maxCallerBytes = 128
	maxTimeout     = time.Hour
)

var (
	servicePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	printablePattern = regexp.MustCompile(`^[\x21-\x7e]+$`)
)

// request holds the parsed headers of an HTTP request.
type request struct {
	service string
	caller  string
	key     string
	// runToken identifies the run on this VM that made the request; it may be
	// empty or invalid.
	runToken string
	// timeout is the caller's remaining time, or zero if the request does not
	// state it.
	timeout time.Duration
	headers []savorydeal.Header
}

func parseRequest(r *http.Request) (request, *savorydeal.Refusal) {
	for _, name := range []string{
		sdheader.Key, sdheader.DeadlineMS, sdheader.Service,
		sdheader.Caller, sdheader.Chain,
	} {
		if len(r.Header.Values(name)) > 1 {
			return request{}, badHeader(name, "is given more than once; send it once")
		}
	}
	parsed := request{
		service:  serviceOf(r),
		caller:   callerOf(r),
		key:      r.Header.Get(sdheader.Key),
		runToken: r.Header.Get(sdheader.Chain),
		headers:  sdheader.EndToEnd(r.Header),
	}
	if !servicePattern.MatchString(parsed.service) {
		name := "Host"
		if r.Header.Get(sdheader.Service) != "" {
			name = sdheader.Service
		}
		return request{}, badHeader(name, "does not name a service; use lower-case letters, digits, dots and hyphens")
	}
	if refusal := checkHeaderValue(sdheader.Key, parsed.key, maxKeyBytes); refusal != nil {
		return parsed, refusal
	}
	if refusal := checkHeaderValue(sdheader.Caller, parsed.caller, maxCallerBytes); refusal != nil {
		return parsed, refusal
	}
	timeout, refusal := timeoutOf(r.Header.Get(sdheader.DeadlineMS))
	parsed.timeout = timeout
	return parsed, refusal
}

func badHeader(name, problem string) *savorydeal.Refusal {
	return notRunRefusal(savorydeal.ReasonBadRequest, "header "+name+" "+problem)
}

func checkHeaderValue(name, value string, limit int) *savorydeal.Refusal {
	if value == "" {
		return nil
	}
	if len(value) > limit || !printablePattern.MatchString(value) {
		return badHeader(name, fmt.Sprintf("must be 1 to %d printable ASCII characters without spaces", limit))
	}
	return nil
}

func serviceOf(r *http.Request) string {
	if service := r.Header.Get(sdheader.Service); service != "" {
		return service
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

func callerOf(r *http.Request) string {
	if caller := r.Header.Get(sdheader.Caller); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return "unknown"
	}
	return host
}

func timeoutOf(value string) (time.Duration, *savorydeal.Refusal) {
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maxTimeout.Milliseconds() {
		return 0, badHeader(sdheader.DeadlineMS,
			fmt.Sprintf("must be the remaining time in milliseconds, 1 to %d", maxTimeout.Milliseconds()))
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}
