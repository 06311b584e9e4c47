// Package savorydeal holds the domain types of the overload control layer and
// the interfaces of everything in it that varies: the clock, the random
// source, the platform, the target, the links between nodes, and the
// decisions. Implementations live below internal/.
//
// The types are plain structs without encoding tags. Packages that put them
// on a wire (sdwire, sdplatform, sdoperator) map them field by field.
package savorydeal
