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
	// signatureBytes is the size of a signature: an HMAC-SHA256 truncated to 128
	// bits.
	signatureBytes = 16
	// minKeyBytes is the minimum length of a key.
	minKeyBytes = 32
	// maxKeys bounds the keys held at once; a key rotation needs two.
	maxKeys = 4
)

// Keyring signs datagrams and verifies the signatures of received ones. It
// signs with the first key and accepts signatures by any of its keys, so that
// a cluster can rotate its key while nodes hold both the old and the new one. It
// is safe for concurrent use.
type Keyring struct {
	keys    atomic.Pointer[[][]byte]
	refused atomic.Int64
}

// NewKeyring returns a keyring with the keys in text, separated by commas.
func NewKeyring(text string) (*Keyring, error) {
	k := &Keyring{}
	return k, k.Replace(text)
}

// Replace replaces all keys. If it returns an error the previous keys stay in
// use.
func (k *Keyring) Replace(text string) error {
	keys, err := ParseKeys(text)
	if err != nil {
		return err
	}
	k.keys.Store(&keys)
	return nil
}

// ParseKeys parses keys separated by commas. Its errors do not contain the
// keys.
func ParseKeys(text string) ([][]byte, error) {
	if text == "" {
		return nil, errors.New("no key; set at least one of 32 or more characters")
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxKeys {
		return nil, fmt.Errorf("%d keys; set at most %d", len(parts), maxKeys)
	}
	keys := make([][]byte, 0, len(parts))
	for i, part := range parts {
		part = strings.TrimSpace(part)
		if len(part) < minKeyBytes {
			return nil, fmt.Errorf("key %d has %d characters; at least %d are required", i+1, len(part), minKeyBytes)
		}
		keys = append(keys, []byte(part))
	}
	return keys, nil
}

// Refused returns the number of datagrams received without a valid signature.
func (k *Keyring) Refused() int64 {
	return k.refused.Load()
}

// sign appends the signature to a message.
func (k *Keyring) sign(message []byte) []byte {
	return append(message, signature((*k.keys.Load())[0], message)...)
}

// verify removes the signature and reports whether it is valid.
func (k *Keyring) verify(signed []byte) ([]byte, bool) {
	if len(signed) >= signatureBytes {
		message, received := signed[:len(signed)-signatureBytes], signed[len(signed)-signatureBytes:]
		for _, key := range *k.keys.Load() {
			if hmac.Equal(signature(key, message), received) {
				return message, true
			}
		}
	}
	k.refused.Add(1)
	return nil, false
}

func signature(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message)
	return mac.Sum(nil)[:signatureBytes]
}
