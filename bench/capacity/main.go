// Command capacity measures how state, messages, processor time and memory grow
// with the size of the fleet, and writes the table that docs/CAPACITY.md quotes.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// Markers around the generated table.
const (
	beginMark = "<!-- measured:begin -->\n"
	endMark   = "<!-- measured:end -->\n"
)

// limit is the longest time that all measurements may take together.
const limit = 10 * time.Minute

// measurement makes one slope.
type measurement struct {
	name string
	run  func(ctx context.Context) (slope, error)
}

func main() {
	page := flag.String("write", "", "page whose table is replaced; empty prints the table only")
	only := flag.String("only", "", "name of the one measurement to make; empty makes all")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := measure(ctx, *page, *only); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// measure makes the measurements and writes the table.
func measure(ctx context.Context, page, only string) error {
	if page != "" && only != "" {
		return errors.New("-write replaces the whole table and needs all measurements: leave -only out")
	}
	var slopes []slope
	for _, m := range measurements {
		if only != "" && m.name != only {
			continue
		}
		s, err := m.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		s.name = m.name
		fmt.Println(s.row())
		slopes = append(slopes, s)
	}
	if page == "" {
		return nil
	}
	return replace(page, table(slopes))
}

// replace puts a table between the marks of a page.
func replace(page, table string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	begin := bytes.Index(text, []byte(beginMark))
	end := bytes.Index(text, []byte(endMark))
	if begin < 0 || end < begin {
		return fmt.Errorf("%s has no marks for the table", page)
	}
	text = slices.Concat(text[:begin+len(beginMark)], []byte(table), text[end:])
	if err := os.WriteFile(page, text, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
