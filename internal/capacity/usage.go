package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// heap returns the size of the live heap in bytes, after garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu returns the processor time that this process has used, in seconds.
func cpu() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constant; only a broken kernel fails here
	}
	return (time.Duration(u.Utime.Nano()) + time.Duration(u.Stime.Nano())).Seconds()
}

// perCall calls f the given number of times and returns the mean duration of a call
// in seconds.
func perCall(calls int, f func(i int)) float64 {
	began := time.Now()
	for i := range calls {
		f(i)
	}
	return time.Since(began).Seconds() / float64(calls)
}
