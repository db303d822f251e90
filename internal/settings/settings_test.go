package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const goodKey = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="

const goodControl = `host = "control-1"
zone = "east-a"
peer = "127.0.0.1:7000"
http = "127.0.0.1:8000"
data_folder = "data"
[operator_keys]
ann = "` + goodKey + `"
[[member]]
name = "control-1"
peer = "127.0.0.1:7000"
http = "127.0.0.1:8000"
[[member]]
name = "control-2"
peer = "127.0.0.2:7000"
`

const goodEntry = `host = "entry-1"
zone = "east-a"
peer = "127.0.0.1:7000"
http = "127.0.0.1:8000"
[operator_keys]
ann = "` + goodKey + `"
[[control_host]]
name = "control-1"
peer = "127.0.0.9:7000"
`

// TestBadSettings guards against invalid values that are accepted, or reported
// without line and key.
func TestBadSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `data_folder = "data"`, "data_folder = \"data\"\nfolder = 1", ":6: folder: unknown key"},
		{"wrong type", `host = "control-1"`, `host = 7`, ":1: host: must be a string, not an integer"},
		{"missing host", `host = "control-1"`, ``, "host: is missing"},
		{"missing zone", `zone = "east-a"`, ``, "zone: is missing"},
		{"missing data folder", `data_folder = "data"`, ``, "data_folder: is missing"},
		{"name in place of an IP number", `peer = "127.0.0.2:7000"`, `peer = "control-2:7000"`, `:14: member[1].peer: "control-2:7000" is not an IP number`},
		{"port out of range", `http = "127.0.0.1:8000"`, `http = "127.0.0.1:80000"`, ":4: http: "},
		{"port 0", `http = "127.0.0.1:8000"`, `http = "127.0.0.1:0"`, "has port 0"},
		{"no port", `http = "127.0.0.1:8000"`, `http = "127.0.0.1"`, ":4: http: "},
		{"unspecified address", `http = "127.0.0.1:8000"`, `http = "0.0.0.0:8000"`, "unspecified"},
		{"same address twice", `http = "127.0.0.1:8000"`, `http = "127.0.0.1:7000"`, "already used by peer"},
		{"duplicate member name", `name = "control-2"`, `name = "control-1"`, `:13: member[1].name: "control-1" is named twice`},
		{"duplicate member address", `peer = "127.0.0.2:7000"`, `peer = "127.0.0.1:7000"`, `member[1].peer: "127.0.0.1:7000" is named twice`},
		{"member without a name", `name = "control-2"`, ``, "member[1].name: is missing"},
		{"HTTP address of a member by name", `peer = "127.0.0.2:7000"`, "peer = \"127.0.0.2:7000\"\nhttp = \"b:80\"", `member[1].http: "b:80" is not an IP number`},
		{"HTTP address of a member twice", `peer = "127.0.0.2:7000"`, "peer = \"127.0.0.2:7000\"\nhttp = \"127.0.0.1:8000\"", "member[1].http: \"127.0.0.1:8000\" is named twice"},
		{"operator without a name", `ann = `, `"" = `, "the operator has no name"},
		{"one key for two operators", `[operator_keys]`, "[operator_keys]\nben = \"" + goodKey + `"`, "is named twice"},
		{"host is no member", `host = "control-1"`, `host = "control-9"`, "not among the members"},
		{"own address differs", `peer = "127.0.0.1:7000"` + "\nhttp", `peer = "127.0.0.7:7000"` + "\nhttp", "differs from this host's own"},
		{"key is not base64", goodKey, "???", ":7: operator_keys.ann: is not base64"},
		{"short key", goodKey, "AAAA", ":7: operator_keys.ann: has 3 bytes"},
		{"no keys", `ann = "` + goodKey + `"`, ``, "operator_keys: at least one key"},
		{"log level", `data_folder = "data"`, "data_folder = \"data\"\nlog_level = \"loud\"", ":6: log_level: "},
		{"syntax error", `zone = "east-a"`, `zone = `, ":2: "},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			refuses(t, goodControl, c.old, c.new, c.want, func(file string) error { _, err := LoadControl(file); return err })
		})
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"no control hosts", goodEntry[strings.Index(goodEntry, "[[control_host]]"):], "", "control_host: at least one is needed"},
		{"control host by name", `peer = "127.0.0.9:7000"`, `peer = "c:7000"`, `control_host[0].peer: "c:7000" is not an IP number`},
		{"zone host by name", `[[control_host]]`, "[[zone_host]]\nname = \"e\"\npeer = \"e:7000\"\n[[control_host]]", `zone_host[0].peer: "e:7000" is not an IP number`},
		{"keys of an entry host", goodKey, "???", ":6: operator_keys.ann: is not base64"},
	} {
		Convey("entry host: "+c.name, t, func() {
			refuses(t, goodEntry, c.old, c.new, c.want, func(file string) error { _, err := LoadEntry(file); return err })
		})
	}
}

// refuses checks that replacing old by edited in a good file gives the finding want.
func refuses(t *testing.T, good, old, edited, want string, load func(file string) error) {
	So(good, ShouldContainSubstring, old)
	file := filepath.Join(t.TempDir(), "settings.toml")
	So(os.WriteFile(file, []byte(strings.Replace(good, old, edited, 1)), 0o644), ShouldBeNil)
	err := load(file)
	So(err, ShouldNotBeNil)
	So(err.Error(), ShouldContainSubstring, want)
}

// TestAllFindingsTogether guards against reporting only the first problem of a file.
func TestAllFindingsTogether(t *testing.T) {
	Convey("Three problems give three findings in the order of lines", t, func() {
		file := filepath.Join(t.TempDir(), "entry.toml")
		So(os.WriteFile(file, []byte("host = 1\nzone = \"a\"\npeer = \"name:1\"\nextra = 2\n"+strings.SplitN(goodEntry, "\n", 4)[3]), 0o644), ShouldBeNil)
		_, err := LoadEntry(file)
		So(strings.Split(err.Error(), "\n"), ShouldHaveLength, 3)
		So(err.Error(), ShouldContainSubstring, ":1: host: ")
		So(err.Error(), ShouldContainSubstring, ":3: peer: ")
		So(err.Error(), ShouldContainSubstring, ":4: extra: ")
	})
	Convey("A host that names itself as a peer of its zone is a finding", t, func() {
		file := filepath.Join(t.TempDir(), "entry.toml")
		So(os.WriteFile(file, []byte(goodEntry+"[[zone_host]]\nname = \"entry-1\"\npeer = \"127.0.0.1:7000\"\n"), 0o644), ShouldBeNil)
		_, err := LoadEntry(file)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, ":10: zone_host[0]: is this host itself")
		So(os.WriteFile(file, []byte(goodEntry), 0o644), ShouldBeNil)
		_, err = LoadEntry(file)
		So(err, ShouldBeNil)
	})
	Convey("A missing file is a finding", t, func() {
		_, err := LoadEntry(filepath.Join(t.TempDir(), "none.toml"))
		So(err, ShouldNotBeNil)
	})
}

// TestWrittenSettingsLoad guards against written settings that do not load.
func TestWrittenSettingsLoad(t *testing.T) {
	Convey("Given the demo bundle", t, func() {
		text, err := os.ReadFile("../../examples/demo.toml")
		So(err, ShouldBeNil)
		b, found := bundle.Parse("demo.toml", text)
		So(found, ShouldBeEmpty)
		folder := t.TempDir()
		files, err := WriteForBundle(folder, b, map[string]string{"ann": goodKey})
		So(err, ShouldBeNil)
		So(files, ShouldHaveLength, len(b.Hosts))
		for _, h := range b.Hosts {
			if h.Role == bundle.RoleControl {
				s, err := LoadControl(files[h.Name])
				So(err, ShouldBeNil)
				So(s.Members, ShouldHaveLength, 3)
				continue
			}
			s, err := LoadEntry(files[h.Name])
			So(err, ShouldBeNil)
			So(s.Peer, ShouldEqual, h.Peer)
		}
		ctl := filepath.Join(folder, "ctl.toml")
		So(Write(ctl, CtlFor(b, "ann", "")), ShouldBeNil)
		s, err := LoadCtl(ctl)
		So(err, ShouldBeNil)
		So(s.ControlHosts, ShouldHaveLength, 3)
	})
}

// TestReferencePage guards against a docs/settings.md that does not match the
// settings types.
func TestReferencePage(t *testing.T) {
	Convey("docs/settings.md is current; if not, run go run ./internal/settings/gendoc", t, func() {
		page, err := os.ReadFile("../../docs/settings.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, Reference())
	})
}

// TestCtlSettings guards against unusable control addresses and key files.
func TestCtlSettings(t *testing.T) {
	for text, want := range map[string]string{
		`control_hosts = []`:                                    "control_hosts: is missing",
		`control_hosts = ["localhost:80"]`:                      ":1: control_hosts[0]: ",
		`control_hosts = ["127.0.0.1:80", "127.0.0.1:80"]`:      "named twice",
		"control_hosts = [\"127.0.0.1:80\"]\nkey_file = \"/-\"": ":2: key_file: ",
	} {
		Convey(text, t, func() {
			file := filepath.Join(t.TempDir(), "ctl.toml")
			So(os.WriteFile(file, []byte(text), 0o644), ShouldBeNil)
			_, err := LoadCtl(file)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		})
	}
}
