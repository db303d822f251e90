package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// rolloutFirst signs and rolls out version 1.
func (c *cluster) rolloutFirst() {
	file := c.file("v1.toml")
	code, _, errText := c.as("ann", "bundle", "sign", file)
	So(errText, ShouldBeEmpty)
	So(code, ShouldEqual, ExitDone)
	code, out, errText := c.as("ann", "bundle", "rollout", file+".signed")
	So(errText, ShouldBeEmpty)
	So(out, ShouldContainSubstring, "version 1 accepted")
	So(code, ShouldEqual, ExitDone)
}

// signedV2 signs a version 2 with another request timeout and returns its file.
func (c *cluster) signedV2(operator, timeout string) string {
	file := c.file(operator+".toml", "version = 1", "version = 2", "request_timeout_ms = 5000", "request_timeout_ms = "+timeout)
	code, _, errText := c.as(operator, "bundle", "sign", file)
	So(errText, ShouldBeEmpty)
	So(code, ShouldEqual, ExitDone)
	return file + ".signed"
}

// TestRollout guards against wrong exit codes, and against results that depend on
// the control host that is asked, on lost responses or on racing operators.
func TestRollout(t *testing.T) {
	Convey("Given three control hosts", t, func() {
		c := newCluster(t, "ann", "ben")
		c.rolloutFirst()
		Convey("submitting the same file again gets the same result from each control host", func() {
			for _, s := range c.servers {
				code, out, _ := c.ctl("bundle", "rollout", filepath.Join(c.folder, "v1.toml.signed"), "--control", s.Listener.Addr().String())
				So(code, ShouldEqual, ExitDone)
				So(out, ShouldContainSubstring, "version 1 accepted")
			}
			So(c.machines[0].Headers(0, 10), ShouldHaveLength, 1)
		})
		Convey("if leadership is lost after the bundle was accepted, a retry returns the accepted version", func() {
			file := c.signedV2("ann", "4000")
			c.set(func() { c.loseReplies = 1 })
			code, out, _ := c.as("ann", "bundle", "rollout", file)
			So(code, ShouldEqual, ExitDone)
			So(out, ShouldContainSubstring, "version 2 accepted")
			So(c.machines[0].Headers(0, 10), ShouldHaveLength, 2)
		})
		Convey("if the response to the operator is lost, a retry returns the accepted version", func() {
			file := c.signedV2("ann", "4000")
			c.set(func() { c.drop = 1 })
			code, out, _ := c.as("ann", "bundle", "rollout", file)
			So(code, ShouldEqual, ExitDone)
			So(out, ShouldContainSubstring, "version 2 accepted")
			So(c.machines[0].Headers(0, 10), ShouldHaveLength, 2)
		})
		Convey("an operator who submits an already accepted version number gets a conflict that names the other operator", func() {
			ann, ben := c.signedV2("ann", "4000"), c.signedV2("ben", "4001")
			code, _, _ := c.as("ben", "bundle", "rollout", ben)
			So(code, ShouldEqual, ExitDone)
			code, _, errText := c.as("ann", "bundle", "rollout", ann)
			So(code, ShouldEqual, ExitFailed)
			So(errText, ShouldContainSubstring, `conflict: version 2 was accepted with root `)
			So(errText, ShouldContainSubstring, `operator "ben"`)
		})
		Convey("without a leader the rollout fails as not submitted, not with an unknown result", func() {
			file := c.signedV2("ann", "4000")
			c.set(func() { c.leader = -1 })
			code, _, errText := c.as("ann", "bundle", "rollout", file, "--timeout", "300ms")
			So(code, ShouldEqual, ExitFailed)
			So(errText, ShouldContainSubstring, "was not submitted")
		})
		Convey("if every response is lost, the result is unknown", func() {
			file := c.signedV2("ann", "4000")
			c.set(func() { c.drop = 1 << 30 })
			code, _, errText := c.as("ann", "bundle", "rollout", file, "--timeout", "300ms")
			So(code, ShouldEqual, ExitUnknown)
			So(errText, ShouldContainSubstring, "submit the same file again")
		})
		Convey("an operator without a key on the control hosts is refused", func() {
			file := c.signedV2("ann", "4000")
			text, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			So(os.WriteFile(file, []byte(strings.Replace(string(text), `"operator": "ann"`, `"operator": "eve"`, 1)), 0o644), ShouldBeNil)
			code, _, errText := c.as("ann", "bundle", "rollout", file)
			So(code, ShouldEqual, ExitFailed)
			So(errText, ShouldContainSubstring, "refused")
		})
		Convey("after a change of a zone's entry hosts the next version waits until that zone has it in force", func() {
			drop := "[[host]]\nname = \"east-a-entry-2\"\nzone = \"east-a\"\nrole = \"entry\"\npeer = \"127.3.1.2:7000\"\nhttp = \"127.3.1.2:8000\"\n"
			v2 := c.file("v2.toml", "version = 1", "version = 2", drop, "")
			v3 := c.file("v3.toml", "version = 1", "version = 3")
			code, _, _ := c.as("ann", "bundle", "sign", v2)
			So(code, ShouldEqual, ExitDone)
			code, _, _ = c.as("ann", "bundle", "rollout", v2+".signed")
			So(code, ShouldEqual, ExitDone)
			code, _, _ = c.as("ann", "bundle", "sign", v3)
			So(code, ShouldEqual, ExitDone)
			code, _, errText := c.as("ann", "bundle", "rollout", v3+".signed", "--timeout", "500ms")
			So(code, ShouldEqual, ExitFailed)
			So(errText, ShouldContainSubstring, "not yet in force on: east-a-entry-1")
			c.report("east-a-entry-1", 2)
			code, _, errText = c.as("ann", "bundle", "rollout", v3+".signed")
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ExitDone)
		})
	})
}

// TestDrains guards against drains that are lost or duplicated, and against drains
// that leave no entry host in service.
func TestDrains(t *testing.T) {
	Convey("Given version 1", t, func() {
		c := newCluster(t, "ann", "ben")
		c.rolloutFirst()
		Convey("drain and undrain each create one version and are idempotent", func() {
			for range 2 {
				code, out, _ := c.as("ann", "drain", "zone", "east-a")
				So(code, ShouldEqual, ExitDone)
				So(out, ShouldContainSubstring, "version 2 accepted")
			}
			So(c.machines[2].Current().Bundle.Drains, ShouldHaveLength, 1)
			code, out, _ := c.as("ben", "bundle", "diff", "1", "2")
			So(code, ShouldEqual, ExitDone)
			So(out, ShouldEqual, "set drain/zone/east-a {\"kind\":\"zone\",\"name\":\"east-a\"}\n")
			for range 2 {
				code, out, _ = c.as("ben", "undrain", "zone", "east-a")
				So(code, ShouldEqual, ExitDone)
				So(out, ShouldContainSubstring, "version 3 accepted")
			}
			So(c.machines[2].Current().Bundle.Drains, ShouldBeEmpty)
		})
		Convey("draining an unknown zone or the last region in service is bad input", func() {
			code, _, errText := c.as("ann", "drain", "zone", "north")
			So(code, ShouldEqual, ExitUsage)
			So(errText, ShouldContainSubstring, `availability zone "north" does not exist`)
			code, _, _ = c.as("ann", "drain", "region", "east")
			So(code, ShouldEqual, ExitDone)
			code, _, errText = c.as("ann", "drain", "region", "west")
			So(code, ShouldEqual, ExitUsage)
			So(errText, ShouldContainSubstring, "drains leave no entry host in service")
		})
		Convey("racing drains of two operators are both accepted", func() {
			done := make(chan int, 2)
			for _, race := range [][2]string{{"ann", "east-a"}, {"ben", "east-b"}} {
				go func() {
					code, _, _ := c.as(race[0], "drain", "zone", race[1])
					done <- code
				}()
			}
			So(<-done, ShouldEqual, ExitDone)
			So(<-done, ShouldEqual, ExitDone)
			So(c.machines[0].Current().Bundle.Drains, ShouldHaveLength, 2)
			So(c.machines[0].Current().Header.Version, ShouldEqual, 3)
		})
	})
}

// TestReadCommands guards against wrong or incomplete output of history, show,
// diff, status and --wait.
func TestReadCommands(t *testing.T) {
	Convey("Given two versions", t, func() {
		c := newCluster(t, "ann")
		c.rolloutFirst()
		code, _, _ := c.as("ann", "bundle", "rollout", c.signedV2("ann", "4000"))
		So(code, ShouldEqual, ExitDone)
		Convey("history lists both, newest first", func() {
			_, out, _ := c.as("ann", "bundle", "history")
			lines := strings.Split(strings.TrimSpace(out), "\n")
			So(lines, ShouldHaveLength, 3)
			So(lines[1], ShouldStartWith, "2 ")
			_, out, _ = c.as("ann", "bundle", "history", "--before", "2", "--json")
			So(out, ShouldContainSubstring, `"version": 1`)
			So(out, ShouldNotContainSubstring, `"version": 2`)
		})
		Convey("show prints a file that passes the check and equals the signed one", func() {
			_, out, _ := c.as("ann", "bundle", "show")
			file := filepath.Join(c.folder, "shown.toml")
			So(os.WriteFile(file, []byte(out), 0o644), ShouldBeNil)
			code, diff, errText := c.ctl("bundle", "diff", file, filepath.Join(c.folder, "ann.toml.signed"))
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ExitDone)
			So(diff, ShouldBeEmpty)
			_, out, _ = c.as("ann", "bundle", "show", "1")
			So(out, ShouldContainSubstring, "version 1, root")
			code, _, _ = c.as("ann", "bundle", "show", "9")
			So(code, ShouldEqual, ExitFailed)
			code, _, _ = c.as("ann", "bundle", "show", "x")
			So(code, ShouldEqual, ExitUsage)
		})
		Convey("status names every host, also as JSON, and marks hosts that never reported", func() {
			_, out, _ := c.as("ann", "status")
			So(out, ShouldContainSubstring, "version 2, root")
			So(out, ShouldContainSubstring, "west-a-entry-1")
			So(out, ShouldContainSubstring, "silent")
			c.report("west-a-entry-1", 1)
			_, out, _ = c.as("ann", "status")
			So(out, ShouldContainSubstring, "bookings=25%")
			_, out, _ = c.as("ann", "status", "--json")
			var report map[string]any
			So(json.Unmarshal([]byte(out), &report), ShouldBeNil)
			So(report["hosts"], ShouldHaveLength, 8)
		})
		Convey("without a leader reads succeed and are marked as possibly stale", func() {
			c.set(func() { c.leader = -1 })
			code, out, _ := c.as("ann", "bundle", "history", "--timeout", "300ms")
			So(code, ShouldEqual, ExitDone)
			So(out, ShouldContainSubstring, "newer versions may exist")
		})
		Convey("--wait fails with the names of hosts that lack the version", func() {
			code, _, errText := c.as("ann", "drain", "zone", "east-a", "--wait", "--timeout", "500ms")
			So(code, ShouldEqual, ExitFailed)
			So(errText, ShouldContainSubstring, "version 3 was accepted, but is not known to be in force on: ")
			So(errText, ShouldContainSubstring, "west-a-entry-1")
		})
	})
}

// TestUsage guards against wrong exit codes and error texts for bad input.
func TestUsage(t *testing.T) {
	c := &cluster{t: t, folder: t.TempDir()}
	bad := c.file("bad.toml", "version = 1", "version = 0\nextra = 1", `name = "west"`, `name = "east"`)
	good := c.file("good.toml")
	key := filepath.Join(c.folder, "ann.key")
	cases := []struct {
		name string
		line []string
		code int
		want string
	}{
		{"no sub-command", nil, ExitUsage, "sub-command is missing"},
		{"sub-command without its own", []string{"bundle"}, ExitUsage, "sub-command is missing"},
		{"unknown option", []string{"status", "--colour"}, ExitUsage, "unknown argument"},
		{"missing argument", []string{"bundle", "check"}, ExitUsage, "required"},
		{"help", []string{"bundle", "sign", "--help"}, ExitDone, ""},
		{"several findings", []string{"bundle", "check", good, bad}, ExitUsage, "extra: unknown key"},
		{"missing file", []string{"bundle", "check", "none.toml"}, ExitUsage, "no such file"},
		{"missing settings", []string{"status", "--settings", "none.toml"}, ExitUsage, "no such file"},
		{"control host by name", []string{"status", "--control", "localhost:80"}, ExitUsage, "not an IP number"},
		{"control host down", []string{"status", "--control", "127.0.0.1:1"}, ExitFailed, "no control host answered"},
		{"key", []string{"key", "new", key}, ExitDone, ""},
		{"key twice", []string{"key", "new", key}, ExitUsage, "file exists"},
		{"sign offline", []string{"bundle", "sign", good, "--previous", "0", "--operator", "ann", "--key", key}, ExitDone, ""},
		{"bad previous root", []string{"bundle", "sign", good, "--previous", "12", "--operator", "ann", "--key", key}, ExitUsage, "hexadecimal digits"},
		{"not a key", []string{"bundle", "sign", good, "--previous", "0", "--operator", "ann", "--key", good}, ExitUsage, "does not hold a private key"},
		{"unsigned file", []string{"bundle", "rollout", good, "--control", "127.0.0.1:1"}, ExitUsage, "is not a signed file"},
		{"rollout with control down", []string{"bundle", "rollout", good + ".signed", "--control", "127.0.0.1:1", "--timeout", "100ms"}, ExitFailed, "was not submitted"},
		{"file against version", []string{"bundle", "diff", good, "1"}, ExitUsage, "two versions or two files"},
	}
	for _, each := range cases {
		Convey(each.name, t, func() {
			code, _, errText := c.ctl(each.line...)
			So(code, ShouldEqual, each.code)
			So(errText, ShouldContainSubstring, each.want)
		})
	}
	Convey("bundle check prints findings as JSON with --json", t, func() {
		code, out, _ := c.ctl("bundle", "check", bad, "--json")
		So(code, ShouldEqual, ExitUsage)
		var got struct{ Findings []map[string]any }
		So(json.Unmarshal([]byte(out), &got), ShouldBeNil)
		So(len(got.Findings), ShouldBeGreaterThanOrEqualTo, 3)
	})
	Convey("the private key is readable by its owner only", t, func() {
		info, err := os.Stat(key)
		So(err, ShouldBeNil)
		So(info.Mode().Perm(), ShouldEqual, os.FileMode(0o600))
	})
}
