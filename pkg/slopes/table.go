package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteTable writes one line for each series.
func (r *Report) WriteTable(w io.Writer) error {
	r.fit()
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "series\tper\tunit\tat 0\tslope\tspread\tr2\tlargest x\tthere")
	for _, s := range r.Series {
		last := s.Points[len(s.Points)-1]
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%.3f\t%.4g\t%.4g\n",
			s.Name, s.X, s.Y, s.Intercept, s.Slope, s.Spread, s.R2, last.X, last.Y)
	}
	return errors.Trace(table.Flush())
}
