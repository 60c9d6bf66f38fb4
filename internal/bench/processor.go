package bench

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// threadTime returns the processor time of the calling thread. It does not grow
// while other processes have the core. The caller keeps its goroutine on one
// thread (runtime.LockOSThread).
func threadTime() time.Duration {
	var spent unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent); err != nil {
		return 0
	}
	return time.Duration(spent.Nano())
}

// processorTime returns the time that this process has used so far, in user and
// kernel mode.
func processorTime() time.Duration {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		return 0
	}
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}
