package settings

import (
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// fill decodes a tree key by key, so that every unknown key and every wrong value
// is reported and not only the first.
func fill(s *Settings, tree *ast.File, file string) []Problem {
	var problems []Problem
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		problems = append(problems, fillNode(reflect.ValueOf(s).Elem(), doc.Body, "", file)...)
	}
	return problems
}

func fillNode(target reflect.Value, node ast.Node, prefix, file string) []Problem {
	fields := fieldsOf(target)
	var problems []Problem
	for _, pair := range pairsOf(node) {
		name := pair.Key.String()
		key := strings.TrimPrefix(prefix+"."+name, ".")
		field, known := fields[name]
		switch {
		case !known:
			problems = append(problems, Problem{file, lineOf(pair.Key), key, "unknown key; known here: " + names(fields)})
		case isSection(field):
			if _, ok := pair.Value.(*ast.NullNode); ok {
				continue
			}
			if len(pairsOf(pair.Value)) == 0 {
				problems = append(problems, Problem{file, lineOf(pair.Key), key, "must be a section with keys: " + names(fieldsOf(field))})
				continue
			}
			problems = append(problems, fillNode(field, pair.Value, key, file)...)
		default:
			if err := yaml.NodeToValue(pair.Value, field.Addr().Interface()); err != nil {
				problems = append(problems, Problem{file, lineOf(pair.Key), key, valueFault(err, field)})
			}
		}
	}
	return problems
}

func valueFault(err error, field reflect.Value) string {
	for _, line := range strings.Split(err.Error(), "\n") {
		if i := strings.Index(line, "is not a "); i >= 0 {
			return line[strings.Index(line, "\""):]
		}
	}
	return "wrong value: must be " + inWords(field.Kind())
}

func inWords(k reflect.Kind) string {
	switch k {
	case reflect.Slice:
		return "a list"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

func isSection(v reflect.Value) bool { return v.Kind() == reflect.Struct }

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

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("yaml")] = v.Field(i)
	}
	return fields
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
