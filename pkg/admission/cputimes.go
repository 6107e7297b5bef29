package admission

import "time"

// cpuTimes is a reading of the CPU clocks of the process and of the calling thread.
type cpuTimes struct{ process, thread time.Duration }

// since returns the CPU time that the goroutine has used since an earlier reading.
//
// Other threads of the process run meanwhile. If their time counted as that of refusals,
// connections would be closed on hosts with idle CPU. When the goroutine has moved to another
// thread, the process's time is the upper bound.
func (now cpuTimes) since(began cpuTimes) time.Duration {
	processTime, threadTime := now.process-began.process, now.thread-began.thread
	if threadTime < 0 || threadTime > processTime {
		return processTime
	}
	return threadTime
}
