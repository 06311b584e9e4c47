package sdkeyed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
)

const (
	// KindPartition is the kind of the platform's objects that name the owner of
	// a partition of a service's keys.
	KindPartition = "key_part"
	// KindHandover is the kind of the objects that name the successor of a
	// process that has stopped.
	KindHandover = "key_handover"
)

// ownerValue is the stored form of a sdkeys.PartitionOwner.
type ownerValue struct {
	Node        string `json:"node"`
	Generation  uint64 `json:"generation"`
	Address     string `json:"address"`
	RetentionMS int64  `json:"retention_ms"`
}

func encodeOwner(owner sdkeys.PartitionOwner) ([]byte, error) {
	return json.Marshal(ownerValue{
		Node:        string(owner.Node),
		Generation:  owner.Generation,
		Address:     owner.Address,
		RetentionMS: owner.Retention.Milliseconds(),
	})
}

func decodeOwner(value []byte) (sdkeys.PartitionOwner, error) {
	var decoded ownerValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return sdkeys.PartitionOwner{}, fmt.Errorf("decode owner of keys: %w", err)
	}
	return sdkeys.PartitionOwner{
		Incarnation: sdkeys.Incarnation{Node: savorydeal.NodeID(decoded.Node), Generation: decoded.Generation},
		Address:     decoded.Address,
		Retention:   time.Duration(decoded.RetentionMS) * time.Millisecond,
	}, nil
}

// storedOwner is an owner as stored on the platform, with the version of the object;
// version 0 means that there is none.
type storedOwner struct {
	owner   sdkeys.PartitionOwner
	version int64
}

// store reads and writes owners on the platform.
type store struct {
	platform savorydeal.Platform
}

// read returns the owner that the object names, or version 0 if the object does not
// exist.
func (s store) read(ctx context.Context, kind, name string) (storedOwner, error) {
	object, err := s.platform.Get(ctx, kind, name)
	if errors.Is(err, savorydeal.ErrObjectNotFound) {
		return storedOwner{}, nil
	}
	if err != nil {
		return storedOwner{}, fmt.Errorf("read %s %s: %w", kind, name, err)
	}
	owner, err := decodeOwner(object.Value)
	if err != nil {
		return storedOwner{}, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return storedOwner{owner: owner, version: object.Version}, nil
}

// write stores the owner in the object if the object has the expected version, and
// returns the new version. Only an acknowledged write makes the process the owner.
// A write whose answer is lost may have taken effect, so the caller must read the
// object before it writes again.
func (s store) write(ctx context.Context, kind, name string, expected int64, owner sdkeys.PartitionOwner) (int64, error) {
	value, err := encodeOwner(owner)
	if err != nil {
		return 0, fmt.Errorf("encode owner of keys: %w", err)
	}
	object, err := s.platform.Put(ctx, kind, name, expected, value)
	if err != nil {
		return 0, fmt.Errorf("write %s %s: %w", kind, name, err)
	}
	return object.Version, nil
}
