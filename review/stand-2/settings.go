package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// placeholder matches a value in a settings template: {{path}} or {{path|json}}.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// writeSettings fills in a template as the platform does, as far as the template of the deploy file needs it.
func writeSettings(template, file string, fields map[string]any) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		parts := placeholder.FindStringSubmatch(p)
		value := lookup(fields, strings.Split(parts[1], "."))
		switch {
		case value == nil:
			return ""
		case parts[2] == "":
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(data)
	})
	return os.WriteFile(file, []byte(filled), 0o600)
}

// lookup returns the value at a path; nil for none.
func lookup(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
