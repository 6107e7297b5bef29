package docrun

import (
	"os"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

const fence = "```"

// Page is one file of the documentation.
type Page struct {
	File   string
	Blocks []Block
}

// ReadPage reads the fenced blocks of a Markdown file. Blocks without a known mode
// are errors, so that no example escapes the test by a slip in its mark.
func ReadPage(file string) (Page, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Page{}, errors.Annotate(err, "read page")
	}
	blocks, err := parse(string(data))
	blocks = append(blocks, inline(string(data))...)
	return Page{File: file, Blocks: blocks}, errors.Annotate(err, file)
}

// Runs says whether the page has commands to run.
func (p Page) Runs() bool {
	for _, b := range p.Blocks {
		if b.Mode == Run || b.Mode == RunUntil {
			return true
		}
	}
	return false
}

var inlineMake = regexp.MustCompile("`(make [^`]+)`")

// inline finds make commands that stand within text.
func inline(text string) []Block {
	var blocks []Block
	for i, line := range strings.Split(text, "\n") {
		for _, m := range inlineMake.FindAllStringSubmatch(line, -1) {
			blocks = append(blocks, Block{Mode: Make, Line: i + 1, Text: m[1] + "\n"})
		}
	}
	return blocks
}

func parse(text string) ([]Block, error) {
	var blocks []Block
	var open *Block
	for i, line := range strings.Split(text, "\n") {
		mark, isFence := strings.CutPrefix(line, fence)
		switch {
		case isFence && open == nil:
			open = &Block{Mode: Mode(strings.TrimSpace(mark)), Line: i + 1}
		case isFence:
			if err := add(&blocks, *open); err != nil {
				return nil, err
			}
			open = nil
		case open != nil:
			open.Text += line + "\n"
		}
	}
	if open != nil {
		return nil, errors.Errorf("line %d: the block doesn't end", open.Line)
	}
	return blocks, nil
}

// add appends b; an out block belongs to the command before it.
func add(blocks *[]Block, b Block) error {
	switch b.Mode {
	case Run, RunUntil, Resources, Make, Go:
		*blocks = append(*blocks, b)
		return nil
	case Output:
		last := len(*blocks) - 1
		if last < 0 || (*blocks)[last].Want != "" || ((*blocks)[last].Mode != Run && (*blocks)[last].Mode != RunUntil) {
			return errors.Errorf("line %d: no command before this output", b.Line)
		}
		(*blocks)[last].Want = b.Text
		return nil
	default:
		return errors.Errorf("line %d: unknown mode %q", b.Line, b.Mode)
	}
}
