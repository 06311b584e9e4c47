package sdgossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
)

const (
	// tagBytes is what a signature adds to a datagram.
	tagBytes = 16
	// minKeyBytes is the least length of a key.
	minKeyBytes = 32
	// maxKeys bounds the keys held at once; two are enough for a change.
	maxKeys = 4
)

// Keyring signs datagrams and checks the signatures of others. The first key
// signs, every key is accepted: a fleet changes its key by holding the old and
// the new one for a while. It is safe for concurrent use.
type Keyring struct {
	keys    atomic.Pointer[[][]byte]
	refused atomic.Int64
}

// NewKeyring returns a keyring of the keys, separated by commas.
func NewKeyring(text string) (*Keyring, error) {
	k := &Keyring{}
	return k, k.Replace(text)
}

// Replace puts other keys in force. A text that is wrong changes nothing.
func (k *Keyring) Replace(text string) error {
	keys, err := ParseKeys(text)
	if err != nil {
		return err
	}
	k.keys.Store(&keys)
	return nil
}

// ParseKeys reads keys separated by commas. Its errors do not repeat the text.
func ParseKeys(text string) ([][]byte, error) {
	if text == "" {
		return nil, errors.New("no key; give one of at least 32 characters")
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxKeys {
		return nil, fmt.Errorf("%d keys; give at most %d", len(parts), maxKeys)
	}
	keys := make([][]byte, 0, len(parts))
	for i, part := range parts {
		part = strings.TrimSpace(part)
		if len(part) < minKeyBytes {
			return nil, fmt.Errorf("key %d has %d characters; give at least %d", i+1, len(part), minKeyBytes)
		}
		keys = append(keys, []byte(part))
	}
	return keys, nil
}

// Refused returns the number of datagrams without a valid signature.
func (k *Keyring) Refused() int64 {
	return k.refused.Load()
}

// seal appends the signature.
func (k *Keyring) seal(message []byte) []byte {
	return append(message, tag((*k.keys.Load())[0], message)...)
}

// open takes the signature off, and reports whether it is valid.
func (k *Keyring) open(sealed []byte) ([]byte, bool) {
	if len(sealed) >= tagBytes {
		message, given := sealed[:len(sealed)-tagBytes], sealed[len(sealed)-tagBytes:]
		for _, key := range *k.keys.Load() {
			if hmac.Equal(tag(key, message), given) {
				return message, true
			}
		}
	}
	k.refused.Add(1)
	return nil, false
}

func tag(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message)
	return mac.Sum(nil)[:tagBytes]
}
