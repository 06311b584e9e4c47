package sdrig_test

import (
	"net/http"
	"testing"

	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

// answerUnframed answers without a length or chunks: the call has failed, and
// the target has not crashed.
func answerUnframed(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"))
	_ = conn.Close()
}

// The tries at failing targets, by their own ledgers: a caller has what the
// policy grants; a target that drops or forges its chain handle has none.
func TestTriesByWhoAsks(t *testing.T) {
	const granted = 3
	b := newBed(t, 2)
	for _, target := range b.targets {
		target.SetHandler(answerUnframed)
	}
	for _, c := range []struct {
		name    string
		address string
		chain   string
		body    string
		tries   int
	}{
		{"caller", b.nodes[0].Settings.CallerAddress, "", "1", granted + 1},
		{"caller that claims a chain", b.nodes[0].Settings.CallerAddress, "0123456789abcdef0123456789abcdef", "2", granted + 1},
		{"target without its handle", b.nodes[0].Settings.OnwardAddress, "", "3", 1},
		{"target with a forged handle", b.nodes[0].Settings.OnwardAddress, "0123456789abcdef0123456789abcdef", "4", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+c.address+"/limits/"+c.body, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Host = raises
			request.Header.Set(sdstandtarget.HeaderLedgerID, c.name)
			if c.chain != "" {
				request.Header.Set(sdheader.Chain, c.chain)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusBadGateway {
				t.Fatalf("status %d: the targets did not fail", response.StatusCode)
			}
			if tries := b.runs(c.name); tries != c.tries {
				t.Fatalf("%d tries, want %d", tries, c.tries)
			}
		})
	}
}
