// Package docrun runs the examples in the documentation and compares what they print
// with what the page shows.
//
// A fenced block marked
//
//	sh run         is run once
//	sh run until   is run again until it prints what is shown, within a bound of time
//	out            is what the block before it prints
//	yaml resources must be read by the code that flamingowindctl reads files with
//	make           holds make commands whose targets must exist
//	go             must stand, line by line, in a Go file that a test compiles and runs
//
// Make commands in running text, between backquotes, are checked like those of a block.
// In an out block "…" stands for any text within a line, and a line of only "…" for
// any number of lines. Blocks of one page run in order in one directory.
package docrun
