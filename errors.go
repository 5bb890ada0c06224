package quetzalroad

import (
	"errors"
	"fmt"
)

// ErrUnknownUpstream reports that no upstream has the given name.
var ErrUnknownUpstream = errors.New("there is no such upstream")

// ErrTrimmed reports that retention has removed the requested records.
var ErrTrimmed = errors.New("the records asked for are no longer in the stream")

// ErrOutdatedEpoch reports that a response belongs to an earlier epoch of the log than the current one.
var ErrOutdatedEpoch = errors.New("the response is from an earlier epoch of the log")

// EpochChangedError reports that the log has begun another epoch since a position was valid. The latest
// record of every key has to be read again.
type EpochChangedError struct {
	// From is the epoch of the position, and To that of the log.
	From, To Epoch
}

// Error implements error.
func (e *EpochChangedError) Error() string {
	return fmt.Sprintf("the log was restored from an older copy: its epoch is %d, that of the position %d", e.To, e.From)
}

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
