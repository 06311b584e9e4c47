// Package sddigest finds the differences of two large sets with few small
// messages. Each side keeps a Merkle tree with two levels below its root, which
// combines digests by XOR and is updated with each added or removed entry.
package sddigest

import "github.com/cespare/xxhash/v2"

// Fanout is the number of branches of the root and of leaves of each branch, and
// so the number of digests in one message.
const Fanout = 64

// LeafCount is the number of leaves of a tree.
const LeafCount = Fanout * Fanout

// Tree holds the digests of one set. The zero value is an empty set.
type Tree struct {
	root     uint64
	branches [Fanout]uint64
	leaves   [LeafCount]uint64
}

// LeafOf returns the index of the leaf for a key, in [0, LeafCount).
func LeafOf(key string) int {
	return int(xxhash.Sum64String(key) % LeafCount)
}

// Toggle adds an entry to the set, or removes it if the set contains it.
// digest must cover the whole entry including its key.
func (t *Tree) Toggle(key string, digest uint64) {
	leaf := LeafOf(key)
	t.leaves[leaf] ^= digest
	t.branches[leaf/Fanout] ^= digest
	t.root ^= digest
}

// Root returns the digest of the whole set. Equal sets have equal roots.
func (t *Tree) Root() uint64 {
	return t.root
}

// BranchDigests returns a copy of the digests of all branches.
func (t *Tree) BranchDigests() []uint64 {
	return append([]uint64(nil), t.branches[:]...)
}

// LeafDigests returns a copy of the digests of the leaves below a branch.
func (t *Tree) LeafDigests(branch int) []uint64 {
	return append([]uint64(nil), t.leaves[branch*Fanout:(branch+1)*Fanout]...)
}

// DifferingBranches returns the indexes of the branches whose digests differ
// from those of the other set.
func (t *Tree) DifferingBranches(remote []uint64) []int {
	return differingIndexes(t.branches[:], remote)
}

// DifferingLeaves returns the indexes, in [0, LeafCount), of the leaves below
// a branch whose digests differ from those of the other set. It returns none
// if branch is out of range.
func (t *Tree) DifferingLeaves(branch int, remote []uint64) []int {
	if branch < 0 || branch >= Fanout {
		return nil
	}
	leaves := differingIndexes(t.leaves[branch*Fanout:(branch+1)*Fanout], remote)
	for i := range leaves {
		leaves[i] += branch * Fanout
	}
	return leaves
}

// differingIndexes returns none if the lengths differ, because nodes of
// another version may use another fan-out.
func differingIndexes(local, remote []uint64) []int {
	var indexes []int
	if len(remote) != len(local) {
		return nil
	}
	for i := range local {
		if local[i] != remote[i] {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
