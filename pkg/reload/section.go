package reload

// Section is a part of the settings that can't be changed while the process runs.
type Section struct {
	Name    string
	Differs bool
}

// NeedRestart names the sections that differ; never nil, so that a log shows a list.
func NeedRestart(sections ...Section) []string {
	names := make([]string, 0)
	for _, s := range sections {
		if s.Differs {
			names = append(names, s.Name)
		}
	}
	return names
}
