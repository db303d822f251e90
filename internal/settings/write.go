package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Write writes settings as TOML to file, replacing its contents. s is an *Entry,
// *Control or *Ctl.
func Write(file string, s any) error {
	var buf bytes.Buffer
	encoder := toml.NewEncoder(&buf)
	encoder.Indent = ""
	if err := encoder.Encode(s); err != nil {
		return fmt.Errorf("render settings %s: %w", file, err)
	}
	return os.WriteFile(file, buf.Bytes(), 0o644)
}

// WriteForBundle writes the settings of every host of a bundle to folder/HOST.toml
// and returns the file names by host name. The settings name folder/data/HOST as
// the data folder of a control host and folder/HOST.trace as the trace file.
func WriteForBundle(folder string, b *bundle.Bundle, operatorKeys map[string]string) (map[string]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	files := map[string]string{}
	for _, h := range b.Hosts {
		var s any = entryFor(folder, b, &h, operatorKeys)
		if h.Role == bundle.RoleControl {
			s = controlFor(folder, b, &h, operatorKeys)
		}
		file := filepath.Join(folder, h.Name+".toml")
		if err := Write(file, s); err != nil {
			return nil, err
		}
		files[h.Name] = file
	}
	return files, nil
}

func entryFor(folder string, b *bundle.Bundle, h *bundle.Host, keys map[string]string) *Entry {
	return &Entry{Host: h.Name, AvailabilityZone: h.AvailabilityZone, Peer: h.Peer, HTTP: h.HTTP,
		ControlHosts: membersOf(b, func(o *bundle.Host) bool { return o.Role == bundle.RoleControl }),
		ZoneHosts: membersOf(b, func(o *bundle.Host) bool {
			return o.Role == bundle.RoleEntry && o.AvailabilityZone == h.AvailabilityZone && o.Name != h.Name
		}),
		OperatorKeys: keys, LogLevel: defaultLogLevel, TraceFile: filepath.Join(folder, h.Name+".trace")}
}

func controlFor(folder string, b *bundle.Bundle, h *bundle.Host, keys map[string]string) *Control {
	return &Control{Host: h.Name, AvailabilityZone: h.AvailabilityZone, Peer: h.Peer, HTTP: h.HTTP,
		DataFolder:   filepath.Join(folder, "data", h.Name),
		Members:      membersOf(b, func(o *bundle.Host) bool { return o.Role == bundle.RoleControl }),
		OperatorKeys: keys, LogLevel: defaultLogLevel, TraceFile: filepath.Join(folder, h.Name+".trace")}
}

// CtlFor returns hornbeamctl settings with all control hosts of a bundle.
func CtlFor(b *bundle.Bundle, operator, keyFile string) *Ctl {
	s := &Ctl{Operator: operator, KeyFile: keyFile}
	for _, h := range b.Hosts {
		if h.Role == bundle.RoleControl {
			s.ControlHosts = append(s.ControlHosts, h.HTTP)
		}
	}
	return s
}

// membersOf returns the hosts of a bundle for which choose returns true.
func membersOf(b *bundle.Bundle, choose func(*bundle.Host) bool) []Member {
	var members []Member
	for _, h := range b.Hosts {
		if choose(&h) {
			members = append(members, Member{Name: h.Name, Peer: h.Peer, HTTP: h.HTTP})
		}
	}
	return members
}
