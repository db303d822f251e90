package entry

import (
	"errors"
	"net/http"
	"net/netip"
)

// handleLookup answers which entry hosts the caller should use.
func (s *HTTPServer) handleLookup(w http.ResponseWriter, r *http.Request) {
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		s.refuse(w, r, notRun(http.StatusBadRequest, CodeInvalidRequest, "caller address: %v", err))
		return
	}
	service := r.URL.Query().Get("service")
	if service == "" || len(service) > maxName {
		s.refuse(w, r, notRun(http.StatusBadRequest, CodeInvalidRequest, "query parameter service must have 1 to %d bytes", maxName))
		return
	}
	answer, ok := s.config.Lookups.Lookup(caller.Addr().Unmap(), service)
	if !ok {
		s.refuse(w, r, notRun(http.StatusNotFound, CodeUnknownCaller, "no entry host for caller %s and service %q", caller.Addr(), service))
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// handleAnnounce handles POST /v1/targets.
func (s *HTTPServer) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	s.announce(w, r, func(a *Announcement) *Problem { return nil })
}

// handleLeave handles POST /v1/targets/leave.
func (s *HTTPServer) handleLeave(w http.ResponseWriter, r *http.Request) {
	s.announce(w, r, func(a *Announcement) *Problem {
		if a.State != StateLeaving {
			return notRun(http.StatusBadRequest, CodeInvalidRequest, "state must be %s", StateLeaving)
		}
		return nil
	})
}

// announce passes an announcement that is valid and satisfies check on to the zone.
func (s *HTTPServer) announce(w http.ResponseWriter, r *http.Request, check func(*Announcement) *Problem) {
	a, err := decodeAnnouncement(r.Body)
	if err != nil {
		s.refuse(w, r, notRun(http.StatusBadRequest, CodeInvalidRequest, "%v", err))
		return
	}
	if problem := check(&a); problem != nil {
		s.refuse(w, r, problem)
		return
	}
	err = s.config.Targets.Announce(r.Context(), a)
	var refused *RefusedTargetError
	switch {
	case errors.As(err, &refused):
		s.refuse(w, r, notRun(http.StatusConflict, CodeRefusedTarget, "%s", refused.Reason))
	case err != nil:
		s.refuse(w, r, notRun(http.StatusServiceUnavailable, CodeInternal, "%v", err))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *HTTPServer) handleLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"live": true})
}

// handleReady reports whether the host is ready for requests and not leaving.
func (s *HTTPServer) handleReady(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		notRun(http.StatusServiceUnavailable, CodeNotReady, "host is leaving").write(w)
		return
	}
	if err := s.config.Ready(); err != nil {
		notRun(http.StatusServiceUnavailable, CodeNotReady, "%v", err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}
