package slopes

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/juju/errors"
)

// Report is the content of the data file.
type Report struct {
	Taken   time.Time `json:"taken"`
	Cores   int       `json:"cores"`
	Go      string    `json:"go"`
	LoadAvg string    `json:"loadAverage"`
	Series  []*Series `json:"series"`

	byName map[string]*Series
}

func newReport() *Report {
	return &Report{
		Taken: time.Now().UTC(), Cores: runtime.NumCPU(), Go: runtime.Version(),
		LoadAvg: loadAverage(), byName: make(map[string]*Series),
	}
}

// loadAverage tells how busy the machine was, empty where the kernel doesn't say.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(data))
}

// add enters one point; the first point of a series sets its axes.
func (r *Report) add(name, x, y string, p Point) {
	s := r.byName[name]
	if s == nil {
		s = &Series{Name: name, X: x, Y: y}
		r.byName[name] = s
		r.Series = append(r.Series, s)
	}
	s.Points = append(s.Points, p)
}

// Find gives a series by name, nil when it wasn't measured.
func (r *Report) Find(name string) *Series { return r.byName[name] }

// Write fits the lines and writes slopes.json into dir.
func (r *Report) Write(dir string) error {
	r.fit()
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Annotate(err, "encode slopes")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Annotate(err, "make the output directory")
	}
	file := filepath.Join(dir, "slopes.json")
	return errors.Annotate(os.WriteFile(file, append(data, '\n'), 0o644), "write slopes")
}

func (r *Report) fit() {
	for _, s := range r.Series {
		s.fit()
	}
}
