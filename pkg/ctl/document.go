package ctl

import (
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// document decodes one YAML document key by key, so that every unknown key and every
// wrong value is reported with its line and not only the first.
type document struct {
	file     string
	problems []Problem
}

func (d *document) add(line int, text string) {
	d.problems = append(d.problems, Problem{d.file, line, text})
}

func (d *document) decode(body ast.Node) resource.Resource {
	pairs := pairsOf(body)
	kind, ok := kindOf(pairs)
	r := resource.New(resource.Kind(kind))
	if !ok || r == nil {
		d.add(lineOf(body), "kind must be one of "+resource.KindNames())
		return nil
	}
	fields := make(map[string]reflect.Value)
	collect(fields, reflect.ValueOf(r).Elem())
	seen := make(map[string]bool)
	for _, pair := range pairs {
		name := pair.Key.String()
		if seen[name] {
			d.add(lineOf(pair.Key), "key "+name+" stands twice")
		}
		seen[name] = true
		if name != "kind" {
			d.field(fields, name, pair)
		}
	}
	if !seen["name"] {
		d.add(lineOf(body), "name must be set")
	}
	return r
}

func (d *document) field(fields map[string]reflect.Value, name string, pair *ast.MappingValueNode) {
	target, known := fields[name]
	if !known {
		d.add(lineOf(pair.Key), "unknown key "+name+"; known here: "+names(fields))
		return
	}
	if err := yaml.NodeToValue(pair.Value, target.Addr().Interface(), yaml.Strict()); err != nil {
		d.add(lineOf(pair.Key), name+" must be a "+typeName(target.Type()))
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	case reflect.Int, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	default:
		return "text"
	}
}

func kindOf(pairs []*ast.MappingValueNode) (string, bool) {
	for _, pair := range pairs {
		if text, ok := pair.Value.(*ast.StringNode); ok && pair.Key.String() == "kind" {
			return text.Value, true
		}
	}
	return "", false
}

func pairsOf(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	default:
		return nil
	}
}

// collect finds the fields by their YAML names; inlined ones count as their parent's.
func collect(fields map[string]reflect.Value, v reflect.Value) {
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if options == "inline" {
			collect(fields, v.Field(i))
			continue
		}
		fields[name] = v.Field(i)
	}
}

func names(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func lineOf(n ast.Node) int { return n.GetToken().Position.Line }

var positionPattern = regexp.MustCompile(`^\[(\d+):\d+\] (.*)`)

// syntaxProblem turns the parser's "[line:column] text" into a Problem.
func syntaxProblem(file string, err error) Problem {
	text, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	if m := positionPattern.FindStringSubmatch(text); m != nil {
		line, _ := strconv.Atoi(m[1]) // digits by the pattern
		return Problem{file, line, m[2]}
	}
	return Problem{file, 1, text}
}
