package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The operators' page has the table of kinds as the code has it.
func TestTheOperatorsPageHasTheTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators-requests.md")
	is.NoErr(err)
	_, table, _ := strings.Cut(string(page), "## Error kinds")
	table, _, _ = strings.Cut(table, "\n## ")
	rows := 0
	for _, line := range strings.Split(table, "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	is.Equal(rows, len(All())) // no row too many
	for _, k := range All() {
		a := k.Answer()
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", k, a.Status, yes(a.NotRun), yes(a.Retryable))
		if !strings.Contains(table, row) {
			t.Errorf("docs/operators-requests.md lacks the row %q", row)
		}
	}
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
