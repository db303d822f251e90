package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// respond sends the response to work and reports whether all of it was written:
// a download if the query has bytes=N, otherwise the receipt.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, receipt Receipt, fault Fault) bool {
	if fault.FailWork {
		http.Error(w, "work failed", http.StatusInternalServerError)
		return true
	}
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		return t.respondReceipt(w, receipt, fault)
	}
	return t.respondBytes(w, r, size, fault)
}

// respondReceipt sends the receipt as JSON.
func (t *Target) respondReceipt(w http.ResponseWriter, receipt Receipt, fault Fault) bool {
	body, err := json.Marshal(receipt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Cut {
		t.cut(w, body[:len(body)/2])
	}
	_, err = w.Write(body)
	if fault.Twice {
		t.answerTwice(w)
	}
	return err == nil
}

// respondBytes sends a download of size bytes at the configured rate, chunked if the
// query has a chunked parameter. The deadline does not apply once the response has started.
func (t *Target) respondBytes(w http.ResponseWriter, r *http.Request, size int64, fault Fault) bool {
	w.Header().Set("Content-Type", "application/octet-stream")
	if r.URL.Query().Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	end := size
	if fault.Cut {
		end = size / 2
	}
	control := http.NewResponseController(w)
	buf := make([]byte, 16<<10)
	for sent := int64(0); sent < end; {
		n := min(int64(len(buf)), end-sent)
		Pattern(buf[:n], sent)
		if !fault.IgnoreCancel {
			_ = control.SetWriteDeadline(time.Now().Add(StallLimit))
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return false
		}
		sent += n
		if t.config.Rate > 0 {
			_ = control.Flush()
			if !pause(r.Context(), time.Duration(n)*time.Second/time.Duration(t.config.Rate)) {
				return false
			}
		}
	}
	if fault.Cut {
		t.cut(w, nil)
	}
	return true
}

// Pattern fills p with the content of a download from the given offset on. The
// content is the same for every download, so that readers can verify it.
func Pattern(p []byte, offset int64) {
	for i := range p {
		at := offset + int64(i)
		p[i] = byte(at ^ at>>8 ^ at>>16)
	}
}

// cut sends part of the response and closes the connection.
func (t *Target) cut(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// strayLimit bounds how long a connection stays open after a second response. It
// must stay open for a while, so that the reader has a chance to take that response
// for the answer to its next request.
const strayLimit = 5 * time.Second

// answerTwice sends a second, unsolicited response on the connection.
func (t *Target) answerTwice(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	conn, buf, err := control.Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	_ = buf.Flush()
	go func() {
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(strayLimit))
		_, _ = io.Copy(io.Discard, conn)
	}()
}
