package hop

import (
	"fmt"
	"io"
)

// copyBuffer is the size in bytes of the parts in which a body is copied.
const copyBuffer = 8 << 10

// CopyBody copies the body of a request to a connection: as it is if its length is known,
// otherwise, if length is negative, with the chunked transfer coding.
func CopyBody(w io.Writer, body io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.Copy(w, body)
		return err
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
