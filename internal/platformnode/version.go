package platformnode

import "runtime/debug"

// Version is the version of the module this program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
