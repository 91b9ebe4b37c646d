package simulator

import "fmt"

// Values of FrameError.Batch and FrameError.Record for an error that concerns no batch or no single record.
const (
	NoBatch  = -1
	NoRecord = -1
)

// FrameError is returned by ReadBatch for a malformed frame. The rest of the input can't be decoded.
type FrameError struct {
	Batch  int64  // sequence number of the batch, or NoBatch if its header is truncated
	Record int    // index of the record in the batch, or NoRecord
	Offset int    // offset of the malformed part from the start of the frame, including the header
	Reason string // what is malformed; empty if reading the input failed
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

// NoClass is the Class of a SettingsError that concerns the settings as a whole.
const NoClass = -1

// SettingsError is returned by ParseSettings for invalid settings.
type SettingsError struct {
	Class     int    // index of the class, or NoClass if the text is not JSON of the expected form
	Semantics string // the unknown value of the class's key "semantics"
	Err       error  // why the text can't be decoded, or nil
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
