package savorydeal

// Class is the importance of a call. The first node sets it from the policy and
// all later nodes of the chain keep it.
type Class string

// Classes from the most to the least important.
const (
	ClassCritical Class = "critical"
	ClassHigh     Class = "high"
	ClassNormal   Class = "normal"
	ClassLow      Class = "low"
)

// ClassCount is the number of classes.
const ClassCount = 4

// Classes lists all classes, the most important first.
func Classes() [ClassCount]Class {
	return [ClassCount]Class{ClassCritical, ClassHigh, ClassNormal, ClassLow}
}

// Rank returns 0 for the most important class and ClassCount-1 for the least.
// An unknown class has the rank of the least important.
func (c Class) Rank() int {
	for rank, class := range Classes() {
		if class == c {
			return rank
		}
	}
	return ClassCount - 1
}

// Known reports whether c is one of the classes.
func (c Class) Known() bool {
	for _, class := range Classes() {
		if class == c {
			return true
		}
	}
	return false
}
