// Command examplegen writes the settings and configurations of examples/.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/zinniaquay/zinniaquay/internal/demo"
)

func main() {
	out := flag.String("out", "examples", "folder of the examples")
	flag.Parse()
	for _, name := range demo.Names() {
		if err := write(filepath.Join(*out, name), name); err != nil {
			fmt.Fprintln(os.Stderr, "examplegen:", err)
			os.Exit(1)
		}
	}
}

func write(dir, name string) error {
	d, err := demo.Find(name)
	if err != nil {
		return err
	}
	files, err := d.Example()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	for file, text := range files {
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o644); err != nil {
			return fmt.Errorf("write example: %w", err)
		}
	}
	return nil
}
