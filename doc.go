// Package savorydeal defines the domain types of the overload control layer and
// the interfaces of its replaceable parts: the clock, the random source, the
// platform, the target, the links between nodes, and the decisions on calls.
// The implementations are in packages below internal/.
//
// The types are plain structs without encoding tags. The packages that encode
// them (sdwire, sdplatform, sdoperator) convert them field by field.
package savorydeal
