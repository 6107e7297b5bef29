// Package reload puts other settings in force while a process runs.
//
// Watcher notices that a settings file changed, or that somebody announced it; what the
// settings mean is the process's own. NeedRestart names what it can't change.
package reload
