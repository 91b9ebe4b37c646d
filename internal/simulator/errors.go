package simulator

import "fmt"

// What a FrameError holds where it is about no batch or no record of its own.
const (
	NoBatch  = -1
	NoRecord = -1
)

// FrameError is returned by ReadBatch for a malformed frame. The input can't be read any further.
type FrameError struct {
	Batch  int64  // sequence number of the batch; NoBatch where its header is cut short
	Record int    // index of the record in the batch, or NoRecord
	Offset int    // bytes of the frame, header included, before what is malformed
	Reason string // what is malformed; empty where reading failed
	Err    error  // the cause, or nil
}

// Error implements error.
func (e *FrameError) Error() string {
	text := e.Reason
	switch {
	case e.Err != nil && text == "":
		text = e.Err.Error()
	case e.Err != nil:
		text += ": " + e.Err.Error()
	}
	switch {
	case e.Batch == NoBatch:
		return text
	case e.Record == NoRecord:
		return fmt.Sprintf("batch %d: %s", e.Batch, text)
	default:
		return fmt.Sprintf("batch %d, record %d: %s", e.Batch, e.Record, text)
	}
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// NoClass is the Class of a SettingsError that is about the settings as a whole.
const NoClass = -1

// SettingsError is returned by ParseSettings for settings that it can't read.
type SettingsError struct {
	Class     int    // index of the class, or NoClass where the text is no JSON of the expected form
	Semantics string // the word that the class has for its semantics, where that is unknown
	Err       error  // why the text can't be read, or nil
}

// Error implements error.
func (e *SettingsError) Error() string {
	if e.Class == NoClass {
		return fmt.Sprintf("settings: %v", e.Err)
	}
	return fmt.Sprintf("settings: class %d: unknown semantics %q", e.Class, e.Semantics)
}

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }
