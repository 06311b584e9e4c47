// Package sdgossip exchanges the datagrams of the membership and configuration
// protocols between nodes over UDP. It encodes, decodes and signs them.
package sdgossip

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdquota"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdroster"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// Datagram is one message between nodes. Exactly one of the pointers is set,
// except in a message of an unknown type, which has none.
type Datagram struct {
	// ConfigDigest identifies the sender's configuration, so that the receiver can
	// compare it with its own. sdnode sends a digest; sdsidecar sends the version
	// and the age of the last confirmation, packed into one number.
	ConfigDigest uint64
	Membership   *sdroster.Message
	Config       *sdconfig.Message
	Report       *sdconfig.Report
	Query        *sdconfig.Query
	Answer       *sdconfig.Answer
	Tokens       *sdquota.Tokens
	// StoreEra is the highest era of the store that the sender knows (see sdera), 0 if it
	// knows none, or if it is a node of an earlier version.
	StoreEra uint64
}

// Encode encodes a datagram. Times are sent as ages relative to now, so that
// the clocks of two nodes need not agree.
func Encode(datagram Datagram, now time.Time) ([]byte, error) {
	encoded := &sdpeerpb.Datagram{ConfigDigest: datagram.ConfigDigest, StoreEra: datagram.StoreEra}
	switch {
	case datagram.Membership != nil:
		encoded.Message = &sdpeerpb.Datagram_Membership{Membership: encodeMembership(datagram.Membership, now)}
	case datagram.Config != nil:
		encoded.Message = &sdpeerpb.Datagram_Config{Config: encodeConfig(datagram.Config)}
	case datagram.Report != nil:
		encoded.Message = &sdpeerpb.Datagram_Report{Report: &sdpeerpb.Report{
			Node: string(datagram.Report.Node), Digest: datagram.Report.Digest,
		}}
	case datagram.Query != nil:
		encoded.Message = &sdpeerpb.Datagram_ForceQuery{ForceQuery: encodeQuery(datagram.Query)}
	case datagram.Answer != nil:
		encoded.Message = &sdpeerpb.Datagram_ForceAnswer{ForceAnswer: encodeAnswer(datagram.Answer)}
	case datagram.Tokens != nil:
		encoded.Message = &sdpeerpb.Datagram_Tokens{Tokens: encodeTokens(datagram.Tokens)}
	}
	bytes, err := proto.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return bytes, nil
}

// Decode decodes a datagram. Times are computed from the received ages
// relative to now. A message of a type that this version does not know leaves
// all pointers nil.
func Decode(bytes []byte, now time.Time) (Datagram, error) {
	var encoded sdpeerpb.Datagram
	if err := proto.Unmarshal(bytes, &encoded); err != nil {
		return Datagram{}, fmt.Errorf("decode datagram: %w", err)
	}
	datagram := Datagram{ConfigDigest: encoded.GetConfigDigest(), StoreEra: encoded.GetStoreEra()}
	switch message := encoded.GetMessage().(type) {
	case *sdpeerpb.Datagram_Membership:
		datagram.Membership = decodeMembership(message.Membership, now)
	case *sdpeerpb.Datagram_Config:
		datagram.Config = decodeConfig(message.Config)
	case *sdpeerpb.Datagram_Report:
		datagram.Report = &sdconfig.Report{
			Node: savorydeal.NodeID(message.Report.GetNode()), Digest: message.Report.GetDigest(),
		}
	case *sdpeerpb.Datagram_ForceQuery:
		datagram.Query = decodeQuery(message.ForceQuery)
	case *sdpeerpb.Datagram_ForceAnswer:
		datagram.Answer = decodeAnswer(message.ForceAnswer)
	case *sdpeerpb.Datagram_Tokens:
		datagram.Tokens = decodeTokens(message.Tokens)
	}
	return datagram, nil
}

func encodeMembership(message *sdroster.Message, now time.Time) *sdpeerpb.Membership {
	encoded := &sdpeerpb.Membership{
		Kind:     string(message.Kind),
		Sequence: message.Sequence,
		Self:     encodeMember(message.Self, now),
		Believed: encodeMember(message.ReceiverEntry, now),
		Subject:  message.PingAddress,
		Index:    uint32(message.Index),
		Digests:  message.Digests,
	}
	for _, member := range message.Members {
		encoded.Members = append(encoded.Members, encodeMember(member, now))
	}
	return encoded
}

// encodeMember returns nil for an empty member. It leaves out the peer address
// if it equals the node's name, as it does for all nodes at present.
func encodeMember(member savorydeal.Member, now time.Time) *sdpeerpb.Member {
	if member.Node == "" {
		return nil
	}
	encoded := sdwire.EncodeMember(member, now)
	if encoded.GetPeerAddress() == encoded.GetNode() {
		encoded.PeerAddress = ""
	}
	return encoded
}

func decodeMember(encoded *sdpeerpb.Member, now time.Time) savorydeal.Member {
	if encoded == nil {
		return savorydeal.Member{}
	}
	member := sdwire.DecodeMember(encoded, now)
	if member.PeerAddress == "" {
		member.PeerAddress = string(member.Node)
	}
	return member
}

func decodeMembership(encoded *sdpeerpb.Membership, now time.Time) *sdroster.Message {
	message := &sdroster.Message{
		Kind:          sdroster.Kind(encoded.GetKind()),
		Sequence:      encoded.GetSequence(),
		Self:          decodeMember(encoded.GetSelf(), now),
		ReceiverEntry: decodeMember(encoded.GetBelieved(), now),
		PingAddress:   encoded.GetSubject(),
		Index:         int(encoded.GetIndex()),
		Digests:       encoded.GetDigests(),
	}
	for _, member := range encoded.GetMembers() {
		message.Members = append(message.Members, decodeMember(member, now))
	}
	return message
}

func encodeConfig(message *sdconfig.Message) *sdpeerpb.Config {
	encoded := &sdpeerpb.Config{
		Kind:    string(message.Kind),
		Objects: EncodeObjects(message.Objects),
		Index:   uint32(message.Index),
		Digests: message.Digests,
	}
	for _, item := range message.Items {
		encoded.Items = append(encoded.Items, &sdpeerpb.ConfigItem{
			Kind: kindToWire(item.Key.Kind), Name: item.Key.Name, Version: item.Version,
		})
	}
	return encoded
}

func decodeConfig(encoded *sdpeerpb.Config) *sdconfig.Message {
	message := &sdconfig.Message{
		Kind:    sdconfig.Kind(encoded.GetKind()),
		Objects: DecodeObjects(encoded.GetObjects()),
		Index:   int(encoded.GetIndex()),
		Digests: encoded.GetDigests(),
	}
	for _, item := range encoded.GetItems() {
		message.Items = append(message.Items, sdconfig.Item{
			Key: sdconfig.Key{Kind: kindFromWire(item.GetKind()), Name: item.GetName()}, Version: item.GetVersion(),
		})
	}
	return message
}

// EncodeObjects encodes configuration objects of all kinds. They share the wire
// type Policy, whose field service holds the object's name.
func EncodeObjects(objects []savorydeal.Object) []*sdpeerpb.Policy {
	encoded := make([]*sdpeerpb.Policy, 0, len(objects))
	for _, object := range objects {
		encoded = append(encoded, &sdpeerpb.Policy{
			Kind:    kindToWire(object.Kind),
			Service: object.Name,
			Version: object.Version,
			Deleted: object.Deleted,
			Value:   object.Value,
		})
	}
	return encoded
}

// DecodeObjects decodes configuration objects.
func DecodeObjects(encoded []*sdpeerpb.Policy) []savorydeal.Object {
	objects := make([]savorydeal.Object, 0, len(encoded))
	for _, object := range encoded {
		objects = append(objects, savorydeal.Object{
			Kind:    kindFromWire(object.GetKind()),
			Name:    object.GetService(),
			Version: object.GetVersion(),
			Deleted: object.GetDeleted(),
			Value:   object.GetValue(),
		})
	}
	return objects
}

// kindToWire returns the wire form of an object's kind: empty for policies,
// the most frequent kind.
func kindToWire(kind string) string {
	if kind == sdrecord.KindPolicy {
		return ""
	}
	return kind
}

func kindFromWire(wire string) string {
	if wire == "" {
		return sdrecord.KindPolicy
	}
	return wire
}

func encodeQuery(query *sdconfig.Query) *sdpeerpb.ForceQuery {
	encoded := &sdpeerpb.ForceQuery{
		Sequence: query.Sequence, Kind: kindToWire(query.Key.Kind), Name: query.Key.Name, Version: query.Version,
	}
	for _, slot := range query.Slots {
		encoded.Slots = append(encoded.Slots, uint32(slot))
	}
	return encoded
}

func decodeQuery(encoded *sdpeerpb.ForceQuery) *sdconfig.Query {
	query := &sdconfig.Query{
		Sequence: encoded.GetSequence(),
		Key:      sdconfig.Key{Kind: kindFromWire(encoded.GetKind()), Name: encoded.GetName()},
		Version:  encoded.GetVersion(),
	}
	for _, slot := range encoded.GetSlots() {
		query.Slots = append(query.Slots, int(slot))
	}
	return query
}

func encodeAnswer(answer *sdconfig.Answer) *sdpeerpb.ForceAnswer {
	return &sdpeerpb.ForceAnswer{
		Sequence:         answer.Sequence,
		InForce:          uint32(answer.InForce),
		Lagging:          uint32(answer.Lagging),
		Unreachable:      uint32(answer.Unreachable),
		NamedLagging:     nodeNames(answer.NamedLagging),
		NamedUnreachable: nodeNames(answer.NamedUnreachable),
	}
}

func decodeAnswer(encoded *sdpeerpb.ForceAnswer) *sdconfig.Answer {
	return &sdconfig.Answer{
		Sequence:         encoded.GetSequence(),
		InForce:          int(encoded.GetInForce()),
		Lagging:          int(encoded.GetLagging()),
		Unreachable:      int(encoded.GetUnreachable()),
		NamedLagging:     nodeIDs(encoded.GetNamedLagging()),
		NamedUnreachable: nodeIDs(encoded.GetNamedUnreachable()),
	}
}

func nodeNames(nodes []savorydeal.NodeID) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, string(node))
	}
	return names
}

func nodeIDs(names []string) []savorydeal.NodeID {
	nodes := make([]savorydeal.NodeID, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, savorydeal.NodeID(name))
	}
	return nodes
}
