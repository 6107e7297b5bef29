// Package reload applies changed settings while a process runs.
//
// Watcher notices that a settings file changed, or that a signal announced it; the process
// interprets the settings. NeedRestart names the sections that need a restart.
package reload
