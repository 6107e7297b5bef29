package ctl

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Problem is one fault of a YAML file.
type Problem struct {
	File string
	Line int
	Text string
}

// String gives file:line: text; only the text for a resource that no file declares.
func (p Problem) String() string {
	if p.File == "" {
		return p.Text
	}
	return p.File + ":" + strconv.Itoa(p.Line) + ": " + p.Text
}

// InvalidManifests holds every fault of the files that were read.
type InvalidManifests struct{ Problems []Problem }

// Error gives one line a fault.
func (e *InvalidManifests) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// place is where a resource was declared.
type place struct {
	file string
	line int
}

// Manifests holds the resources of several files.
type Manifests struct {
	Resources []resource.Resource
	places    map[resource.Ref]place
	problems  []Problem
}

// Locate gives the faults that a router found the file and line of their resource.
func (m *Manifests) Locate(faults []resource.FieldError) *InvalidManifests {
	located := &InvalidManifests{}
	for _, f := range faults {
		at := m.places[resource.Ref{Kind: f.Kind, Name: f.Name}]
		located.Problems = append(located.Problems, Problem{at.file, at.line, f.String()})
	}
	return located
}

// ReadManifests reads one YAML file, or all *.yaml and *.yml files under a directory.
func ReadManifests(path string) (*Manifests, error) {
	files, err := manifestFiles(path)
	if err != nil {
		return nil, err
	}
	m := &Manifests{places: make(map[resource.Ref]place)}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Annotate(err, "read declarations")
		}
		m.parse(file, data)
	}
	if len(m.problems) > 0 {
		return nil, &InvalidManifests{Problems: m.problems}
	}
	return m, nil
}

func manifestFiles(path string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(path, func(p string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		ext := filepath.Ext(p)
		if !d.IsDir() && (ext == ".yaml" || ext == ".yml" || p == path) {
			files = append(files, p)
		}
		return nil
	})
	sort.Strings(files)
	return files, errors.Annotate(err, "find declarations")
}

func (m *Manifests) parse(file string, data []byte) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		m.problems = append(m.problems, syntaxProblem(file, err))
		return
	}
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		d := &document{file: file}
		r := d.decode(doc.Body)
		m.problems = append(m.problems, d.problems...)
		if r != nil && len(d.problems) == 0 {
			m.add(r, place{file, lineOf(doc.Body)})
		}
	}
}

func (m *Manifests) add(r resource.Resource, at place) {
	ref := resource.RefOf(r)
	if first, taken := m.places[ref]; taken {
		text := ref.String() + " is declared at " + first.file + ":" + strconv.Itoa(first.line) + " too"
		m.problems = append(m.problems, Problem{at.file, at.line, text})
		return
	}
	m.places[ref] = at
	m.Resources = append(m.Resources, r)
}
