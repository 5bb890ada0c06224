package quetzalroad

import (
	"errors"
	"fmt"
)

// ErrUnknownUpstream reports that no upstream has the given name.
var ErrUnknownUpstream = errors.New("there is no such upstream")

// ErrTrimmed reports that retention has removed the requested records.
var ErrTrimmed = errors.New("the records asked for are no longer in the stream")

// ConflictError reports that another change of the same object was accepted
// first.
type ConflictError struct {
	Kind ObjectKind
	Name string
	// BaseRevision is the revision the change was based on.
	BaseRevision Revision
	// CurrentRevision is the object's revision now.
	CurrentRevision Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at revision %d, not %d: read it again and repeat the change", e.Kind, e.Name, e.CurrentRevision, e.BaseRevision)
}

// UnconfirmedError reports that a change was, or may have been, appended but
// was not read back from the log in time.
type UnconfirmedError struct {
	ID    ChangeID
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("change %s was not confirmed by the log: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// InvalidError reports that an object fails validation.
type InvalidError struct {
	// Problems lists every failed check.
	Problems []Problem
}

// Problem is one failed check of a field.
type Problem struct {
	// Path is the kebab-case path of the field.
	Path string
	// Message describes the problem.
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
