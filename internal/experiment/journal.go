package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// entry is what is read of an entry of the journal.
type entry struct {
	Head, Why, Site string
	Argv            []string
	Days            []struct {
		Name  string
		Seed  uint64
		G     *float64
		Rules map[string]int
		// Twin is whether the day was played small.
		Twin any `json:"small_twin"`
	}
}

// ReadJournal gives the plays of the entries in a directory. variant names the variant of an entry
// by the commit and the reason it was played for; entries for which it gives none are left out.
func ReadJournal(dir string, variant func(commit, why string) string) ([]Play, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var plays []Play
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Trace(err)
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, errors.Annotatef(err, "%s is no entry", filepath.Base(file))
		}
		if name := variant(e.Head, e.Why); name != "" {
			plays = append(plays, e.plays(name)...)
		}
	}
	return plays, nil
}

func (e *entry) plays(variant string) []Play {
	how := e.how()
	var plays []Play
	for _, d := range e.Days {
		if d.G == nil {
			continue // it was given up
		}
		broken := 0
		for _, n := range d.Rules {
			broken += n
		}
		size := ""
		if d.Twin != nil && d.Twin != false {
			size = "small"
		}
		plays = append(plays, Play{Key: Key{Site: e.Site, Day: d.Name, Seed: d.Seed, How: strings.TrimSpace(size + how)},
			Variant: variant, Worth: *d.G, Broken: broken})
	}
	return plays
}

// how gives the arguments of a call that change what is played.
func (e *entry) how() string {
	how := ""
	for i, arg := range e.Argv {
		switch {
		case arg == "--no-cpu":
			how += " " + arg
		case arg == "--until" && i+1 < len(e.Argv):
			how += " " + arg + " " + e.Argv[i+1]
		}
	}
	return how
}

// ByCommits gives the variant whose commit or reason begins with, or holds, its name.
func ByCommits(names ...string) func(commit, why string) string {
	return func(commit, why string) string {
		for _, name := range names {
			if strings.HasPrefix(commit, name) || strings.Contains(why, "["+name+"]") {
				return name
			}
		}
		return ""
	}
}
