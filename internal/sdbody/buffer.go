package sdbody

import "sync"

// PartBytes is the size of the parts in which bodies are copied.
const PartBytes = 32 << 10

var parts = sync.Pool{New: func() any {
	part := make([]byte, PartBytes)
	return &part
}}

// Part returns a buffer of PartBytes. It goes back by Release.
func Part() *[]byte {
	return parts.Get().(*[]byte)
}

// Release gives a buffer back. Nobody may use it afterwards.
func Release(part *[]byte) {
	parts.Put(part)
}
