// Package sdoverlimit holds tests in which clients outside the limits connect to
// node processes: they send large bodies and heads, stop halfway, or do not read
// their answers. The tests check that the process stays alive within its memory and
// descriptors, and that it answers an ordinary request afterwards.
package sdoverlimit
