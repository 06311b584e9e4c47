// Package sdpolicy validates policies and finds the operation of a call. It
// does no I/O.
package sdpolicy

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Limits and defaults of a policy's fields. MaxRetriesBound and
// MaxBodyBytesBound are the largest accepted values of an operation's
// MaxRetries and MaxBodyBytes.
const (
	MaxOperations       = 64
	MaxRetriesBound     = 16
	MaxTimeout          = 5 * time.Minute
	MaxBodyBytesBound   = 64 << 20
	MaxRetryRatio       = 1.0
	MaxKeyRetention     = 24 * time.Hour
	DefaultMaxRetries   = 2
	DefaultTimeout      = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	DefaultRetryRatio   = 0.1
	DefaultKeyRetention = 10 * time.Minute
)

var (
	servicePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	methodPattern  = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// FieldError describes one invalid field of a policy.
type FieldError struct {
	// Field is the path of the field, such as operations[1].class.
	Field string
	// Remedy tells the operator which values the field accepts.
	Remedy string
}

// Error returns the field and the remedy on one line.
func (e FieldError) Error() string {
	return e.Field + ": " + e.Remedy
}

// InvalidError lists all invalid fields of a policy. Such a policy is rejected
// as a whole.
type InvalidError struct {
	Fields []FieldError
}

// Error returns all invalid fields on one line.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Fields))
	for _, field := range e.Fields {
		texts = append(texts, field.Error())
	}
	return "invalid policy: " + strings.Join(texts, "; ")
}

// checker collects the invalid fields of a policy.
type checker struct {
	fields []FieldError
}

// require adds an error for the field unless ok is set.
func (c *checker) require(ok bool, field, remedy string) {
	if !ok {
		c.fields = append(c.fields, FieldError{Field: field, Remedy: remedy})
	}
}

// Validate returns the policy with defaults filled in, or an *InvalidError that
// lists all invalid fields.
func Validate(policy savorydeal.Policy) (savorydeal.Policy, error) {
	policy = withDefaults(policy)
	c := &checker{}
	c.require(servicePattern.MatchString(policy.Service), "service",
		"use 1 to 63 lower-case letters, digits, dots and hyphens, with a letter or digit first")
	c.require(len(policy.Operations) > 0, "operations", "add at least one operation")
	c.require(len(policy.Operations) <= MaxOperations, "operations",
		fmt.Sprintf("use at most %d operations", MaxOperations))
	c.require(policy.RetryRatio >= 0 && policy.RetryRatio <= MaxRetryRatio, "retry_ratio",
		"use a number from 0 to 1")
	c.require(policy.KeyRetention > 0 && policy.KeyRetention <= MaxKeyRetention, "key_retention_ms",
		fmt.Sprintf("use a number from 1 to %d", MaxKeyRetention.Milliseconds()))
	for i, operation := range policy.Operations {
		c.checkOperation(fmt.Sprintf("operations[%d]", i), operation)
	}
	c.checkUnique(policy.Operations)
	if len(c.fields) > 0 {
		return savorydeal.Policy{}, &InvalidError{Fields: c.fields}
	}
	return policy, nil
}

func (c *checker) checkOperation(field string, operation savorydeal.Operation) {
	c.require(namePattern.MatchString(operation.Name), field+".name",
		"use 1 to 63 lower-case letters, digits and underscores, with a letter first")
	c.require(strings.HasPrefix(operation.PathPrefix, "/"), field+".path_prefix", "use a path that begins with a slash")
	c.require(operation.Class.Known(), field+".class", "use critical, high, normal or low")
	c.require(operation.Keyless == savorydeal.KeylessRefuse || operation.Keyless == savorydeal.KeylessRunOnce,
		field+".keyless", "use refuse or run_once")
	c.require(operation.MaxRetries >= 0 && operation.MaxRetries <= MaxRetriesBound, field+".max_retries",
		fmt.Sprintf("use a number from 0 to %d", MaxRetriesBound))
	c.require(operation.Timeout > 0 && operation.Timeout <= MaxTimeout, field+".timeout_ms",
		fmt.Sprintf("use a number from 1 to %d", MaxTimeout.Milliseconds()))
	c.require(operation.MaxBodyBytes > 0 && operation.MaxBodyBytes <= MaxBodyBytesBound, field+".max_body_bytes",
		fmt.Sprintf("use a number from 1 to %d", MaxBodyBytesBound))
	for _, method := range operation.Methods {
		c.require(methodPattern.MatchString(method), field+".methods", "use 1 to 16 upper-case letters, such as GET")
	}
}

// checkUnique rejects two operations that match the same calls, since their
// order would then decide which of them applies.
func (c *checker) checkUnique(operations []savorydeal.Operation) {
	names := make(map[string]bool)
	matches := make(map[string]bool)
	for i, operation := range operations {
		field := fmt.Sprintf("operations[%d]", i)
		c.require(!names[operation.Name], field+".name", "is used twice; give each operation a unique name")
		names[operation.Name] = true
		methods := operation.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, method := range methods {
			match := method + " " + operation.PathPrefix
			c.require(!matches[match], field+".path_prefix",
				"matches the same calls as an earlier operation; change the method or the path prefix")
			matches[match] = true
		}
	}
}

// withDefaults returns a copy of the policy in which zero values are replaced
// by defaults. MaxRetries and RetryRatio are not replaced, since 0 is valid for
// them.
func withDefaults(policy savorydeal.Policy) savorydeal.Policy {
	if policy.KeyRetention == 0 {
		policy.KeyRetention = DefaultKeyRetention
	}
	operations := make([]savorydeal.Operation, 0, len(policy.Operations))
	for _, operation := range policy.Operations {
		if operation.Keyless == "" {
			operation.Keyless = savorydeal.KeylessRefuse
		}
		if operation.Timeout == 0 {
			operation.Timeout = DefaultTimeout
		}
		if operation.MaxBodyBytes == 0 {
			operation.MaxBodyBytes = DefaultMaxBodyBytes
		}
		operations = append(operations, operation)
	}
	policy.Operations = operations
	return policy
}
