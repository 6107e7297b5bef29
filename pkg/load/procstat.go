package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// clockTick is the unit of processor time in /proc, the same on all Linux ports of Go.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat, counted after the program's name.
const (
	userField   = 11
	systemField = 12
	rssField    = 21
)

// Usage is a process's processor time so far and its resident memory now.
type Usage struct {
	CPU time.Duration
	RSS int64 // bytes
}

// readUsage reads what the kernel counted for a process.
func readUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Annotate(err, "read a router's usage")
	}
	return parseUsage(data)
}

// parseUsage reads a stat line; the program's name in it may hold spaces and brackets.
func parseUsage(stat []byte) (Usage, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= rssField {
		return Usage{}, errors.Errorf("%d fields in a stat line", len(fields))
	}
	var numbers [3]int64
	for i, at := range []int{userField, systemField, rssField} {
		n, err := strconv.ParseInt(string(fields[at]), 10, 64)
		if err != nil {
			return Usage{}, errors.Annotate(err, "stat line")
		}
		numbers[i] = n
	}
	return Usage{
		CPU: time.Duration(numbers[0]+numbers[1]) * clockTick,
		RSS: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
