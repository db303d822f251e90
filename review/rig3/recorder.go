package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to a file and to standard output.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, begun: time.Now()}, err
}

// note writes a line to the file and to standard output.
func (r *recorder) note(format string, args ...any) {
	line := r.write(format, args...)
	fmt.Print(line)
}

// write writes a line to the file.
func (r *recorder) write(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return line
}
