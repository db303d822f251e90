package entry

import "sync"

// bufferSize is the size of the buffers that bodies pass through.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

func takeBuffer() *[]byte  { return buffers.Get().(*[]byte) }
func giveBuffer(b *[]byte) { buffers.Put(b) }
