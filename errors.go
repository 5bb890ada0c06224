package quetzalroad

import (
	"errors"
	"fmt"
)

// ErrUnknownUpstream tells that there is no upstream of a name.
var ErrUnknownUpstream = errors.New("there is no such upstream")

// ErrTrimmed tells that a stream no longer holds the records asked for.
var ErrTrimmed = errors.New("the records asked for are no longer in the stream")

// ConflictError tells that another change of the same object came first.
type ConflictError struct {
	Kind ObjectKind
	Name string
	// BaseRevision is the revision the change was made from.
	BaseRevision Revision
	// CurrentRevision is the revision that stands now.
	CurrentRevision Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at revision %d, not %d: read it again and repeat the change", e.Kind, e.Name, e.CurrentRevision, e.BaseRevision)
}

// UnconfirmedError tells that a change was appended, or may have been, but
// was not read back in time.
type UnconfirmedError struct {
	ID    ChangeID
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("change %s was not confirmed by the log: %v", e.ID, e.Cause)
}

// Unwrap gives the failure behind it.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// InvalidError tells that an object breaks a rule.
type InvalidError struct {
	// Problems lists all findings.
	Problems []Problem
}

// Problem is one finding with its place.
type Problem struct {
	// Path is the kebab-case path of the field.
	Path string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := ""
	for i, p := range e.Problems {
		if i > 0 {
			text += "; "
		}
		text += p.Path + ": " + p.Message
	}
	return text
}
