package sdgossip

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	oldKey = strings.Repeat("a", 32)
	newKey = strings.Repeat("b", 32)
)

func TestSignedDatagrams(t *testing.T) {
	for _, test := range []struct {
		name             string
		sender, receiver string
		damage           func([]byte) []byte
		accepted         bool
	}{
		{"same key", oldKey, oldKey, nil, true},
		{"other key", newKey, oldKey, nil, false},
		{"receiver holds both, sender the old one", oldKey, newKey + "," + oldKey, nil, true},
		{"receiver holds both, sender the new one", newKey, oldKey + "," + newKey, nil, true},
		{"changed on the way", oldKey, oldKey, func(b []byte) []byte { b[0] ^= 1; return b }, false},
		{"cut short", oldKey, oldKey, func(b []byte) []byte { return b[:len(b)-1] }, false},
		{"nothing", oldKey, oldKey, func([]byte) []byte { return nil }, false},
		{"without a signature", oldKey, oldKey, func(b []byte) []byte { return b[:len(b)-tagBytes] }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sender, err := NewKeyring(test.sender)
			is.NoErr(err)
			receiver, err := NewKeyring(test.receiver)
			is.NoErr(err)
			sealed := sender.seal([]byte("members and policies"))
			if test.damage != nil {
				sealed = test.damage(sealed)
			}
			message, ok := receiver.open(sealed)
			is.Equal(ok, test.accepted)
			is.Equal(receiver.Refused() == 0, test.accepted)
			if test.accepted {
				is.Equal(string(message), "members and policies")
			}
		})
	}
}

func TestWrongKeysChangeNothing(t *testing.T) {
	is := is.New(t)
	keyring, err := NewKeyring(oldKey)
	is.NoErr(err)
	for _, text := range []string{"", "short", oldKey + ",short", strings.Repeat(oldKey+",", maxKeys) + oldKey} {
		err := keyring.Replace(text)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), oldKey)) // no key in a log
	}
	_, ok := keyring.open(keyring.seal([]byte("x")))
	is.True(ok)
}
