package standin

import (
	"encoding/json"
	"net/http"
)

// handler serves the control interface under /standin/ and treats all other
// requests as work.
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, t.Stats()) })
	mux.HandleFunc("GET /standin/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /standin/fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, t.Fault()) })
	mux.HandleFunc("POST /standin/fault", t.handleFault)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.URL.Path) >= 9 && r.URL.Path[:9] == "/standin/" {
			mux.ServeHTTP(w, r)
			return
		}
		t.handleWork(w, r) // not through the ServeMux, which redirects paths such as //a and /a/../b
	})
}

func (t *Target) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.SetFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
