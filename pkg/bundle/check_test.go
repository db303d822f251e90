package bundle

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func exampleText(tb testing.TB, name string) string {
	tb.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		tb.Fatal(err)
	}
	return string(text)
}

// badInput is an edit of the demo bundle, from old to new, and part of the finding
// that it must cause. An empty old appends new.
type badInput struct{ name, old, new, want string }

var badInputs = []badInput{
	{"unknown key", `deployment = "demo"`, "deployment = \"demo\"\ncolour = 1", ":5: colour: unknown key"},
	{"unknown key in a table", `zone_latency_ms = 0.5`, `zone_latency = 0.5`, "region[0].zone_latency: unknown key"},
	{"wrong type", `version = 1`, `version = "1"`, ":3: version: must be an integer, not a string"},
	{"wrong type in a list", `"127.3.101.0/24"`, `7`, "zone[0].target_prefixes[0]: must be a string, not an integer"},
	{"negative version", `version = 1`, `version = -1`, "version: must not be negative"},
	{"version 0", `version = 1`, `version = 0`, "version: must be 1 or more"},
	{"missing deployment", `deployment = "demo"`, ``, "deployment: is missing"},
	{"bad name", `deployment = "demo"`, `deployment = "de/mo"`, "deployment: \"de/mo\" may hold only"},
	{"syntax error", `version = 1`, `version =`, ":3: "},
	{"bad region name", `name = "west"`, `name = "We st"`, `region[1].name: "We st" may hold only`},
	{"bad zone name", `name = "east-b"`, `name = ""`, "zone[1].name: is missing"},
	{"bad host name", `name = "east-a-entry-2"`, `name = "a/b"`, `host[1].name: "a/b" may hold only`},
	{"bad service name", `name = "statements"`, `name = "a/b"`, `service[1].name: "a/b" may hold only`},
	{"method twice", `"GET", "HEAD"`, `"GET", "GET"`, `service[0].repeatable_methods[1]: "GET" is already used`},
	{"bulk prefix twice", `["/exports/"]`, `["/exports/", "/exports/"]`, `service[0].bulk_prefixes[1]: "/exports/" is already used`},
	{"HTTP address by name", `"127.3.1.1:8000"`, `"localhost:8000"`, `host[0].http: "localhost:8000" is not an IP number`},
	{"target prefix with address bits", `"127.3.101.0/24"`, `"127.3.101.1/24"`, "zone[0].target_prefixes[0]: \"127.3.101.1/24\" has address bits"},
	{"missing region of a zone", "region = \"east\"\n", "", "zone[0].region: is missing"},
	{"unknown region of a zone", `region = "east"`, `region = "north"`, `zone[0].region: region "north" does not exist`},
	{"missing zone of a host", "zone = \"east-a\"\nrole", "role", "host[0].zone: availability zone is missing"},
	{"unknown zone of a host", "zone = \"east-a\"\nrole", "zone = \"x\"\nrole", `host[0].zone: availability zone "x" does not exist`},
	{"duplicate region", `name = "west"`, `name = "east"`, `region[1].name: "east" is already used by region[0].name`},
	{"duplicate zone", `name = "east-b"`, `name = "east-a"`, `"east-a" is already used`},
	{"duplicate host", `name = "east-a-entry-2"`, `name = "east-a-entry-1"`, `"east-a-entry-1" is already used`},
	{"duplicate address", `"127.3.1.2:7000"`, `"127.3.1.1:7000"`, `host[1].peer: "127.3.1.1:7000" is already used by host[0].peer`},
	{"duplicate service", `name = "statements"`, `name = "bookings"`, `"bookings" is already used`},
	{"negative latency", `zone_latency_ms = 0.5`, `zone_latency_ms = -1`, "must not be negative"},
	{"negative caller latency", `caller_latency_ms = 1`, `caller_latency_ms = -1`, "must not be negative"},
	{"no target prefixes", `target_prefixes = ["127.3.101.0/24"]`, ``, "zone[0].target_prefixes: is missing"},
	{"name in place of an IP number", `"127.3.1.1:7000"`, `"localhost:7000"`, `host[0].peer: "localhost:7000" is not an IP number`},
	{"bad port", `"127.3.1.1:7000"`, `"127.3.1.1:70000"`, "host[0].peer"},
	{"port 0", `"127.3.1.1:7000"`, `"127.3.1.1:0"`, "has port 0"},
	{"unspecified address", `"127.3.1.1:7000"`, `"0.0.0.0:7000"`, "unspecified"},
	{"address in a form that is not canonical", `"127.3.1.1:7000"`, `"127.3.1.1:07000"`, "host[0].peer"},
	{"unknown role", `role = "entry"`, `role = "boss"`, `host[0].role: must be "entry" or "control"`},
	{"overlapping blocks", `"10.2.0.0/16"`, `"10.1.7.0/24"`, "blocks[1].prefixes[0]: 10.1.7.0/24 overlaps 10.1.0.0/16 at blocks[0].prefixes[1]"},
	{"equal blocks", `"10.2.0.0/16"`, `"10.1.0.0/16"`, "overlaps"},
	{"block with address bits beyond its length", `"10.2.0.0/16"`, `"10.2.0.1/16"`, "has address bits beyond its length, write 10.2.0.0/16"},
	{"name in place of a block", `"10.2.0.0/16"`, `"dublin"`, "is not an IP prefix"},
	{"mapped IPv4 block", `"10.2.0.0/16"`, `"::ffff:10.2.0.0/112"`, "must be written as an IPv4 prefix"},
	{"block of an unknown zone", "zone = \"east-b\"\nprefixes", "zone = \"x\"\nprefixes", `blocks[1].zone: availability zone "x" does not exist`},
	{"overlapping target prefixes", `"127.3.102.0/24"`, `"127.3.0.0/16"`, "overlaps"},
	{"link to an unknown region", `regions = ["east", "west"]`, `regions = ["east", "north"]`, `link[0].regions[1]: region "north" does not exist`},
	{"regions without a link", `regions = ["east", "west"]`, `regions = ["east", "north"]`, `link: regions "east" and "west" have no link`},
	{"link to itself", `regions = ["east", "west"]`, `regions = ["east", "east"]`, "joins region \"east\" with itself"},
	{"link of three regions", `regions = ["east", "west"]`, `regions = ["east", "west", "x"]`, "link[0].regions: must have 2 elements, not 3"},
	{"link twice", `[[link]]`, "[[link]]\nregions = [\"west\", \"east\"]\nmbit_per_second = 280\n[[link]]", `link[1].regions: "east/west" is already used`},
	{"cap of zero", `mbit_per_second = 280`, `mbit_per_second = 0`, "link[0].mbit_per_second: must be a number above 0"},
	{"negative cap", `mbit_per_second = 280`, `mbit_per_second = -1`, "must be a number above 0"},
	{"infinite cap", `mbit_per_second = 280`, `mbit_per_second = inf`, "must be a number above 0"},
	{"cap that is no number", `mbit_per_second = 280`, `mbit_per_second = nan`, "must be a number above 0"},
	{"cap too small for the floors", `mbit_per_second = 280`, `mbit_per_second = 52`, "52 Mbit/s leaves each of 5 entry hosts a floor of 65000 bytes/s; one request needs 65536"},
	{"negative link latency", `latency_ms = 12`, `latency_ms = -12`, "link[0].latency_ms: must not be negative"},
	{"no slots", `slots = 4`, `slots = 0`, "service[0].slots: must be 1 or more"},
	{"negative targets", `targets = 3`, `targets = -3`, "service[0].targets: must be 0 or more"},
	{"no timeout", `request_timeout_ms = 5000`, ``, "service[0].request_timeout_ms: must be 1 or more"},
	{"fewer connections than slots", `connections = 100`, `connections = 2`, "2 connections cannot carry 4 slots"},
	{"unknown method", `"GET"`, `"get"`, `"get" is not an HTTP method`},
	{"bulk prefix without slash", `"/exports/"`, `"exports/"`, "must start with /"},
	{"drain of an unknown zone", "", "[[drain]]\nkind = \"zone\"\nname = \"x\"\n", `drain[0].name: availability zone "x" does not exist`},
	{"drain of an unknown region", "", "[[drain]]\nkind = \"region\"\nname = \"x\"\n", `region "x" does not exist`},
	{"drain of an unknown host", "", "[[drain]]\nkind = \"host\"\nname = \"control-1\"\n", `entry host "control-1" does not exist`},
	{"drain of a target outside all target prefixes", "", "[[drain]]\nkind = \"target\"\nname = \"127.9.0.1:80\"\n", "in no availability zone's target prefixes"},
	{"drain of a target without port", "", "[[drain]]\nkind = \"target\"\nname = \"127.3.101.1\"\n", "is not an IP number with a port"},
	{"drain of an unknown kind", "", "[[drain]]\nkind = \"rack\"\nname = \"x\"\n", `must be target, zone, region or host, not "rack"`},
	{"drain twice", "", "[[drain]]\nkind = \"zone\"\nname = \"east-a\"\n[[drain]]\nkind = \"zone\"\nname = \"east-a\"\n", "is already used by drain[0].name"},
	{"drains of all entry hosts", "", "[[drain]]\nkind = \"region\"\nname = \"east\"\n[[drain]]\nkind = \"host\"\nname = \"west-a-entry-1\"\n", "drains leave no entry host in service"},
}

// TestBadBundles guards against invalid content being accepted, one case for each check.
func TestBadBundles(t *testing.T) {
	good := exampleText(t, "demo.toml")
	for _, c := range badInputs {
		Convey(c.name, t, func() {
			So(good, ShouldContainSubstring, c.old)
			text := good + c.new
			if c.old != "" {
				text = strings.Replace(good, c.old, c.new, 1)
			}
			b, found := Parse("demo.toml", []byte(text))
			So(b, ShouldBeNil)
			So(found.Error(), ShouldContainSubstring, c.want)
			for _, f := range found {
				if f.Key != "host" && f.Key != "link" && f.Key != "deployment" {
					So(f.Line, ShouldBeGreaterThan, 0)
				}
			}
		})
	}
}

// TestHostPlacement guards against bundles in which the loss of one region or
// availability zone would stop roll-outs or leave callers without entry hosts.
func TestHostPlacement(t *testing.T) {
	Convey("Given the Ireland bundle", t, func() {
		b, found := Parse("ireland.toml", []byte(exampleText(t, "ireland.toml")))
		So(found, ShouldBeEmpty)
		Convey("a majority of control hosts in one region is reported", func() {
			for i := range b.Hosts {
				if b.Hosts[i].Name == "control-5" {
					b.Hosts[i].AvailabilityZone = "cork-a"
				}
			}
			So(CheckContent("b", b).Error(), ShouldContainSubstring, `3 of 5 control hosts are in region "munster"`)
		})
		Convey("a wrong number of control hosts is reported", func() {
			b.Hosts = b.Hosts[:len(b.Hosts)-25] // drops hosts from the end, entry hosts included
			So(CheckContent("b", b).Error(), ShouldContainSubstring, "control hosts are needed")
		})
		Convey("entry hosts in fewer than two zones are reported", func() {
			var kept []Host
			for _, h := range b.Hosts {
				if h.Role == RoleControl || h.AvailabilityZone == "cork-a" {
					kept = append(kept, h)
				}
			}
			b.Hosts = kept
			So(CheckContent("b", b).Error(), ShouldContainSubstring, "entry hosts are needed in at least 2 availability zones, found 1")
		})
		Convey("a bundle without regions and hosts is reported", func() {
			_, found := Parse("empty.toml", []byte("version = 1\ndeployment = \"x\"\n"))
			So(found.Error(), ShouldContainSubstring, "at least one region")
			So(found.Error(), ShouldContainSubstring, "entry hosts are needed")
		})
	})
	Convey("With two regions, all control hosts in one of them are reported", t, func() {
		text := strings.Replace(exampleText(t, "demo.toml"), "name = \"control-3\"\nzone = \"west-a\"", "name = \"control-3\"\nzone = \"east-a\"", 1)
		_, found := Parse("demo.toml", []byte(text))
		So(found.Error(), ShouldContainSubstring, `3 of 3 control hosts are in region "east"`)
	})
}

// TestChangeRules guards against unsafe transitions between two versions that are
// each valid: entry host lists of a zone with disjoint majorities, and a wrong
// version number or deployment.
func TestChangeRules(t *testing.T) {
	Convey("Given two versions", t, func() {
		b, _ := Parse("ireland.toml", []byte(exampleText(t, "ireland.toml")))
		edit := func(change func(hosts []Host) []Host) *Bundle {
			next := *b
			next.Version = 2
			next.Hosts = change(append([]Host(nil), b.Hosts...))
			next.Canonicalize()
			return &next
		}
		without := func(names ...string) func([]Host) []Host {
			return func(hosts []Host) []Host {
				var kept []Host
				for _, h := range hosts {
					if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+h.Name+" ") {
						kept = append(kept, h)
					}
				}
				return kept
			}
		}
		Convey("one host in each of two zones may be removed", func() {
			So(Check(edit(without("cork-a-entry-1", "dublin-a-entry-1")), b), ShouldBeEmpty)
		})
		Convey("two hosts of a zone may not be removed at once", func() {
			So(Check(edit(without("cork-a-entry-1", "cork-a-entry-2")), b).Error(), ShouldContainSubstring, "[cork-a-entry-1 cork-a-entry-2] change at once")
		})
		Convey("a replacement under another name counts as two changes", func() {
			next := edit(func(hosts []Host) []Host {
				for i := range hosts {
					if hosts[i].Name == "cork-a-entry-1" {
						hosts[i].Name = "cork-a-entry-9"
					}
				}
				return hosts
			})
			So(Check(next, b).Error(), ShouldContainSubstring, "change at once")
		})
		Convey("two new addresses in a zone count as two changes", func() {
			next := edit(func(hosts []Host) []Host {
				for i := range hosts {
					hosts[i].Peer = strings.Replace(hosts[i].Peer, "127.1.1.1:", "127.1.1.8:", 1)
					hosts[i].Peer = strings.Replace(hosts[i].Peer, "127.1.1.2:", "127.1.1.9:", 1)
				}
				return hosts
			})
			So(Check(next, b).Error(), ShouldContainSubstring, "change at once")
		})
		Convey("the version must be the next one and the deployment must not change", func() {
			next := edit(func(hosts []Host) []Host { return hosts })
			next.Version = 3
			next.Deployment = "other"
			So(Check(next, b).Error(), ShouldContainSubstring, "version: must be 2, not 3")
			So(Check(next, b).Error(), ShouldContainSubstring, "deployment: cannot change")
			So(Check(next, nil).Error(), ShouldContainSubstring, "the first version must be 1")
		})
	})
}
