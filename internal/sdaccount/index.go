// Package sdaccount decides which client account a request belongs to, by its API key,
// and how the requests of accounts rank. It does no I/O.
package sdaccount

import (
	"crypto/sha256"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// Verdict is the result of identifying the account of a request.
type Verdict string

// Verdicts.
const (
	// VerdictAccepted means that the key belongs to an account in force.
	VerdictAccepted Verdict = "accepted"
	// VerdictNoKey means that the request has no Authorization header.
	VerdictNoKey Verdict = "no_key"
	// VerdictSeveral means that the request has more than one Authorization header.
	VerdictSeveral Verdict = "several_keys"
	// VerdictMalformed means that the header holds no bearer key.
	VerdictMalformed Verdict = "malformed"
	// VerdictUnknown means that no account in force has the key.
	VerdictUnknown Verdict = "unknown_key"
)

// Header is the request header that holds the API key.
const Header = "Authorization"

const bearerScheme = "Bearer"

// keyDigest is the SHA-256 hash of an API key. The index compares hashes, so that the
// time of a lookup does not depend on how much of a key was guessed.
type keyDigest [sha256.Size]byte

// Index finds the accounts of one configuration. It is immutable. A nil Index belongs
// to a configuration without accounts.
type Index struct {
	byKey  map[keyDigest]*savorydeal.Account
	byName map[string]*savorydeal.Account
}

// NewIndex returns the index of the accounts, nil without any. The accounts that the
// index returns have no keys, so that code which handles a request cannot reveal them.
func NewIndex(accounts []savorydeal.Account) *Index {
	if len(accounts) == 0 {
		return nil
	}
	index := &Index{
		byKey:  make(map[keyDigest]*savorydeal.Account, len(accounts)),
		byName: make(map[string]*savorydeal.Account, len(accounts)),
	}
	for _, account := range accounts {
		keys := account.Keys
		account.Keys = nil
		index.byName[account.Name] = &account
		for _, key := range keys {
			index.byKey[sha256.Sum256([]byte(key))] = &account
		}
	}
	return index
}

// Len returns the number of accounts.
func (i *Index) Len() int {
	if i == nil {
		return 0
	}
	return len(i.byName)
}

// identify returns the account of a request with the given values of Header. The
// account is nil unless the verdict is VerdictAccepted.
func (i *Index) identify(authorization []string) (*savorydeal.Account, Verdict) {
	switch len(authorization) {
	case 0:
		return nil, VerdictNoKey
	case 1:
	default:
		return nil, VerdictSeveral
	}
	scheme, key, _ := strings.Cut(trimSpaces(authorization[0]), " ")
	key = trimSpaces(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || strings.ContainsAny(key, " \t") {
		return nil, VerdictMalformed
	}
	account, ok := i.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, VerdictUnknown
	}
	return account, VerdictAccepted
}

// trimSpaces removes the white space that may surround the parts of a header value.
func trimSpaces(text string) string {
	return strings.Trim(text, " \t")
}

// ofRun returns the account of a run with the given account name, nil if the name is
// empty. A run keeps its account if the configuration in force no longer has it.
func (i *Index) ofRun(name string) *savorydeal.Account {
	if name == "" {
		return nil
	}
	if i == nil {
		return &savorydeal.Account{Name: name}
	}
	if account, ok := i.byName[name]; ok {
		return account
	}
	return &savorydeal.Account{Name: name}
}
