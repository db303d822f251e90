package entry

import (
	"net/http"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// maxRecorded is the size in bytes of the largest body that claim stores keep for resends.
const maxRecorded = 64 << 10

// recorder collects the answer of a claimed request for its claim.
type recorder struct {
	wanted  bool // false without a claim; nothing is collected then
	status  int
	header  http.Header
	body    []byte
	dropped bool // the body is larger than maxRecorded
}

func newRecorder(wanted bool, r *http.Response) *recorder {
	rec := &recorder{wanted: wanted}
	if wanted {
		rec.status, rec.header = r.StatusCode, endToEnd(r.Header)
	}
	return rec
}

func (r *recorder) write(p []byte) {
	if !r.wanted || r.dropped {
		return
	}
	if len(r.body)+len(p) > maxRecorded {
		r.body, r.dropped = nil, true
		return
	}
	r.body = append(r.body, p...)
}

func (r *recorder) answer() claim.Answer {
	return claim.Answer{Status: r.status, Header: r.header, Body: r.body, BodyDropped: r.dropped}
}
