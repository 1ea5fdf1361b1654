package configstore

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a configuration.
type Fault struct {
	// Field is the path of the field, such as targets.t1.zone.
	Field string `json:"field"`
	// Message says what is wrong and what is expected.
	Message string `json:"message"`
}

// InvalidError lists all faults of a configuration.
type InvalidError struct {
	// Faults in the order of their fields.
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Field + ": " + f.Message
	}
	return strings.Join(lines, "; ")
}

// StaleError says that a patch was made against another number than the one in
// force.
type StaleError struct {
	// Current is the number in force.
	Current uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the current number is %d", e.Current)
}

// faults collects faults.
type faults []Fault

func (f *faults) add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

// sorted returns the faults by field, so that lists are equal for equal faults.
func (f faults) sorted() []Fault {
	slices.SortFunc(f, func(a, b Fault) int {
		if c := strings.Compare(a.Field, b.Field); c != 0 {
			return c
		}
		return strings.Compare(a.Message, b.Message)
	})
	return slices.Compact(f)
}
