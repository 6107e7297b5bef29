package docrun

// Mode says what is done with a block.
type Mode string

// Modes, as they are written after the fence.
const (
	Run       Mode = "sh run"
	RunUntil  Mode = "sh run until"
	Output    Mode = "out"
	Resources Mode = "yaml resources"
	Make      Mode = "make"
	Go        Mode = "go"
)

// Block is one fenced block of a page.
type Block struct {
	Mode Mode
	// Line is the line of the opening fence.
	Line int
	Text string
	// Want is what the block prints, from the out block after it; empty without one.
	Want string
}
