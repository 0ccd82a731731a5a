package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a script writes what was sent, answered and run. Times are seconds since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), start: time.Now()}, nil
}

// seconds returns a time as seconds since the start of the record.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.start).Seconds()
}

// add writes one line with the present time.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

// addAt writes one line with the time of the event.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f %s\n", r.seconds(at), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
