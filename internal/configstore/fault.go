package configstore

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation error of a configuration.
type Fault struct {
	// Field is the path of the field, such as targets.t1.zone.
	Field string `json:"field"`
	// Message describes the fault and the expected value.
	Message string `json:"message"`
}

// InvalidError lists all faults of a configuration.
type InvalidError struct {
	// Faults sorted by field.
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

// StaleError means that a patch was made against a configuration that is not the
// current one.
type StaleError struct {
	// Current is the number of the current configuration.
	Current uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the current number is %d", e.Current)
}

type faults []Fault

func (f *faults) add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

// sorted sorts the faults by field and removes duplicates, so that equal faults
// give equal lists.
func (f faults) sorted() []Fault {
	slices.SortFunc(f, func(a, b Fault) int {
		if c := strings.Compare(a.Field, b.Field); c != 0 {
			return c
		}
		return strings.Compare(a.Message, b.Message)
	})
	return slices.Compact(f)
}
