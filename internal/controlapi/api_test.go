package controlapi

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

var key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// fakeGroup applies commands at once and records their sizes.
type fakeGroup struct {
	machine  *history.Machine
	leader   string
	err      error // returned by Propose if not nil
	readErr  error
	proposed []int // bytes of each command
}

func (g *fakeGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	g.proposed = append(g.proposed, len(command))
	if g.err != nil {
		return nil, g.err
	}
	return g.machine.Apply(0, command), nil
}

func (g *fakeGroup) Read(context.Context) error { return g.readErr }
func (g *fakeGroup) Leader() string             { return g.leader }

// serve starts the API of a control host and adds the host to members.
func serve(name string, g *fakeGroup, members *[]settings.Member) *httptest.Server {
	quiet := log.New(io.Discard)
	g.machine = history.New(map[string]ed25519.PublicKey{"ann": key.Public().(ed25519.PublicKey)})
	api := &API{Host: name, Members: *members, Group: g, Machine: g.machine, Metrics: metrics.NewRegistry(), Log: quiet, Client: http.DefaultClient,
		Distributor: rollout.NewDistributor(peer.NewServer(name), peer.NewClient(name), "", func() bool { return false }, quiet)}
	srv := khttp.NewServer(khttp.Timeout(0))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		api.Members = *members
		srv.ServeHTTP(w, r)
	}))
	api.Register(srv)
	*members = append(*members, settings.Member{Name: name, HTTP: server.Listener.Addr().String()})
	return server
}

// request sends body as JSON and returns the status code and the response body.
func request(method, url string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	So(err, ShouldBeNil)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	So(err, ShouldBeNil)
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, answer
}

// code returns the error code of a response body.
func code(answer []byte) ErrorCode {
	var body ErrorBody
	So(json.Unmarshal(answer, &body), ShouldBeNil)
	return body.Error.Code
}

// signed returns version v of the Ireland bundle as a signed snapshot.
func signed(v uint64, previous bundle.Digest) *bundle.Signed {
	text, err := os.ReadFile("../../examples/ireland.toml")
	So(err, ShouldBeNil)
	b, found := bundle.Parse("ireland.toml", text)
	So(found, ShouldBeEmpty)
	b.Version = v
	b.Services[0].RequestTimeoutMs = 1000 + int(v)
	s, err := bundle.NewSigned(bundle.Sign(v, previous, b.Root(), "ann", key), b, nil)
	So(err, ShouldBeNil)
	return s
}

// TestSubmission guards against error codes that report a submission with an unknown
// result as refused, or a refused one as unknown.
func TestSubmission(t *testing.T) {
	Convey("Given a leader and another control host", t, func() {
		var members []settings.Member
		leader, other := &fakeGroup{leader: "a"}, &fakeGroup{leader: "a"}
		a, b := serve("a", leader, &members), serve("b", other, &members)
		Reset(func() { a.Close(); b.Close() })
		first := signed(1, bundle.Digest{})

		Convey("a submission through either host reaches the leader, and later ones carry only changes", func() {
			status, _ := request(http.MethodPost, b.URL+PathBundles, first)
			So(status, ShouldEqual, http.StatusOK)
			status, _ = request(http.MethodPost, a.URL+PathBundles, signed(2, first.Header.Root))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = request(http.MethodPost, b.URL+PathBundles, first)
			So(status, ShouldEqual, http.StatusOK)
			So(leader.proposed, ShouldHaveLength, 3)
			So(leader.proposed[0], ShouldBeGreaterThan, 2000)
			So(leader.proposed[1], ShouldBeLessThan, 700)
			So(leader.proposed[2], ShouldBeLessThan, 300)
			So(other.proposed, ShouldBeEmpty)
		})
		Convey("conflict, refusal and undecodable input have different responses", func() {
			_, _ = request(http.MethodPost, a.URL+PathBundles, first)
			status, answer := request(http.MethodPost, a.URL+PathBundles, signed(2, bundle.Digest{9}))
			So(status, ShouldEqual, http.StatusConflict)
			So(string(answer), ShouldContainSubstring, first.Header.Root.String())
			status, _ = request(http.MethodPost, a.URL+PathBundles, signed(7, first.Header.Root))
			So(status, ShouldEqual, http.StatusUnprocessableEntity)
			status, answer = request(http.MethodPost, a.URL+PathBundles, "text")
			So(status, ShouldEqual, http.StatusBadRequest)
			So(code(answer), ShouldEqual, CodeBadRequest)
		})
		Convey("a proposal that may be committed has an unknown result", func() {
			leader.err = errors.New("leadership was lost")
			status, answer := request(http.MethodPost, b.URL+PathBundles, first)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(code(answer), ShouldEqual, CodeUnknown)
		})
		Convey("a leader that stepped down, no leader and an unreachable leader did not get the submission", func() {
			leader.err = &NotLeaderError{}
			_, answer := request(http.MethodPost, a.URL+PathBundles, first)
			So(code(answer), ShouldEqual, CodeNoLeader)
			other.leader = ""
			_, answer = request(http.MethodPost, b.URL+PathBundles, first)
			So(code(answer), ShouldEqual, CodeNoLeader)
			other.leader = "a"
			a.Close()
			_, answer = request(http.MethodPost, b.URL+PathBundles, first)
			So(code(answer), ShouldEqual, CodeNoLeader)
		})
		Convey("two hosts that name each other as leader do not forward in circles", func() {
			leader.leader, leader.err = "b", &NotLeaderError{}
			other.err = &NotLeaderError{}
			_, answer := request(http.MethodPost, b.URL+PathBundles, first)
			So(code(answer), ShouldEqual, CodeNoLeader)
		})
	})
}

// TestReads guards against reads that fail without a leader, or are not marked stale
// then.
func TestReads(t *testing.T) {
	Convey("Given a control host with one version", t, func() {
		var members []settings.Member
		g := &fakeGroup{leader: "a"}
		a := serve("a", g, &members)
		Reset(a.Close)
		status, answer := request(http.MethodGet, a.URL+PathBundles+"/"+CurrentVersion, nil)
		So(status, ShouldEqual, http.StatusNotFound)
		So(code(answer), ShouldEqual, CodeNotFound)
		// A host that was just started has an empty state and knows no leader.
		g.readErr = errors.New("no quorum")
		for _, version := range []string{CurrentVersion, "1"} {
			status, answer = request(http.MethodGet, a.URL+PathBundles+"/"+version, nil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(code(answer), ShouldEqual, CodeNoLeader)
		}
		g.readErr = nil
		_, _ = request(http.MethodPost, a.URL+PathBundles, signed(1, bundle.Digest{}))

		Convey("a confirmed read is not marked stale, an unconfirmed one is", func() {
			for _, path := range []string{PathBundles, PathBundles + "/1", PathBundles + "/" + CurrentVersion, PathStatus} {
				g.readErr = nil
				status, answer := request(http.MethodGet, a.URL+path, nil)
				So(status, ShouldEqual, http.StatusOK)
				So(string(answer), ShouldNotContainSubstring, `"stale":true`)
				g.readErr = errors.New("no quorum")
				status, answer = request(http.MethodGet, a.URL+path, nil)
				So(status, ShouldEqual, http.StatusOK)
				So(string(answer), ShouldContainSubstring, `"stale":true`)
			}
		})
		Convey("invalid numbers are refused", func() {
			for _, path := range []string{"?before=x", "?limit=-1", "/x"} {
				status, _ := request(http.MethodGet, a.URL+PathBundles+path, nil)
				So(status, ShouldEqual, http.StatusBadRequest)
			}
		})
		Convey("liveness does not depend on the group, readiness does", func() {
			g.readErr = errors.New("no quorum")
			status, _ := request(http.MethodGet, a.URL+"/livez", nil)
			So(status, ShouldEqual, http.StatusOK)
			status, _ = request(http.MethodGet, a.URL+"/readyz", nil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			g.readErr = &NotLeaderError{Leader: "b"}
			status, _ = request(http.MethodGet, a.URL+"/readyz", nil)
			So(status, ShouldEqual, http.StatusOK)
			status, answer := request(http.MethodGet, a.URL+"/metrics", nil)
			So(status, ShouldEqual, http.StatusOK)
			So(json.Valid(answer), ShouldBeTrue)
		})
	})
}
