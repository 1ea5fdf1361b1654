// Command docgen generates the reference pages for settings and configuration
// from the schema's comments, which it reads from the generated Go code.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// page describes one generated Markdown page.
type page struct {
	file, source, title, intro string
	messages                   []string
}

var pages = []page{
	{
		file: "settings.md", source: "settings.pb.go", title: "Settings of a process",
		intro: "Each process reads one YAML file. An unknown field, a field that is set twice or a value that is\n" +
			"not valid stops the process before it listens; all faults are printed with file, line and the expected\n" +
			"value. Durations are written like `10s`. Secrets stand in files of their own.",
		messages: []string{"RouterSettings", "SidecarSettings", "ProcessSettings"},
	},
	{
		file: "configuration.md", source: "configuration.pb.go", title: "Configuration of the fleet",
		intro: "One numbered JSON document, the same for all processes, changed only by merge patches against its number.\n" +
			"See [operators.md](operators.md) for how to send one.",
		messages: []string{"Configuration", "ClientAccount", "AvailabilityZone", "Service", "RequestPattern", "Target", "Move"},
	},
}

func main() {
	out := flag.String("out", "docs", "folder of the pages")
	gen := flag.String("gen", "../../gen/zinniaquay/v1", "folder of the generated code")
	flag.Parse()
	if err := writePages(*gen, *out); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}

func writePages(gen, out string) error {
	for _, p := range pages {
		text, err := render(p, filepath.Join(gen, p.source))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(out, p.file), text, 0o644); err != nil {
			return fmt.Errorf("write page: %w", err)
		}
	}
	return nil
}

// render returns the page for the messages in a source file.
func render(p page, source string) ([]byte, error) {
	messages, err := readMessages(source)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "<!-- Generated from the schema by go generate ./internal/settings; change the schema instead. -->\n\n")
	fmt.Fprintf(&b, "# %s\n\n%s\n", p.title, p.intro)
	for _, name := range p.messages {
		m, ok := messages[name]
		if !ok {
			return nil, fmt.Errorf("%s has no message %s", source, name)
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| field | type | meaning |\n| --- | --- | --- |\n", name, m.comment)
		for _, f := range m.fields {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", f.name, f.typeName, f.comment)
		}
	}
	return b.Bytes(), nil
}
