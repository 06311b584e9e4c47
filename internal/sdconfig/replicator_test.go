package sdconfig_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sddigest"
)

// A difference is found in a leaf that holds more objects than one message, wherever
// its key stands in the order.
func TestDifferenceInFullLeafIsFound(t *testing.T) {
	const kind, objects = "policy", 40
	var names []string
	leaf := sddigest.LeafOf(kind + "\x00" + "0")
	for i := 0; len(names) < objects; i++ {
		if name := fmt.Sprint(i); sddigest.LeafOf(kind+"\x00"+name) == leaf {
			names = append(names, name)
		}
	}
	for _, changed := range []int{0, objects / 2, objects - 1} {
		t.Run(fmt.Sprint(changed), func(t *testing.T) {
			is := is.New(t)
			now := epoch
			replicators := make(map[string]*sdconfig.Replicator)
			stores := make(map[string]*sdconfig.Store)
			for i, address := range []string{"a", "b"} {
				stores[address] = sdconfig.NewStore(decode)
				replicators[address] = sdconfig.NewReplicator(stores[address], rand.New(rand.NewPCG(uint64(i), 5)), func(int) []string { return nil })
				for index, name := range names {
					version := int64(1)
					if address == "a" && index == changed {
						version = 2
					}
					replicators[address].Apply(now, []savorydeal.Object{{Kind: kind, Name: name, Version: version}})
				}
			}
			is.True(stores["a"].Digest() != stores["b"].Digest())
			for range 200 {
				now = now.Add(10 * time.Second)
				exchange(replicators, now, "b", "a", replicators["b"].ReceiveDigest(now, "a", stores["a"].Digest()))
			}
			is.Equal(stores["a"].Digest(), stores["b"].Digest())
		})
	}
}

// exchange delivers packets and the answers to them without loss.
func exchange(replicators map[string]*sdconfig.Replicator, now time.Time, from, to string, packets []sdconfig.Packet) {
	for _, packet := range packets {
		actions := replicators[to].Receive(now, from, packet.Message)
		replicators[to].Apply(now, actions.Apply)
		exchange(replicators, now, to, from, actions.Packets)
	}
}
