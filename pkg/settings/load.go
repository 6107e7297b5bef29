package settings

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	Line int // 0 when the fault is of the whole file
	Key  string
	Text string
}

// String gives file:line: key: text.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		where += ": " + p.Key
	}
	return where + ": " + p.Text
}

// Invalid is the error for a file with faults; it holds all of them.
type Invalid struct{ Problems []Problem }

// Error gives one line a problem.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in file. Faults come as *Invalid, all at once.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings")
	}
	return Parse(file, data)
}

// Parse checks data; file is only named in problems.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return s, &Invalid{Problems: []Problem{{File: file, Text: firstLine(yaml.FormatError(err, false, false))}}}
	}
	problems := fill(&s, tree, file)
	problems = append(problems, unreported(check(s, lineFinder(tree), file), problems)...)
	if len(problems) > 0 {
		return s, &Invalid{Problems: problems}
	}
	return s, nil
}

// unreported drops what is only the echo of a fault already named: the check of a
// value that could not be decoded.
func unreported(found, reported []Problem) []Problem {
	known := make(map[string]bool, len(reported))
	for _, p := range reported {
		known[p.Key] = true
	}
	return slices.DeleteFunc(found, func(p Problem) bool { return known[p.Key] })
}

func lineFinder(tree *ast.File) func(key string) int {
	return func(key string) int {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			return 0
		}
		node, err := path.FilterFile(tree)
		if err != nil || node == nil {
			return 0
		}
		return node.GetToken().Position.Line
	}
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
