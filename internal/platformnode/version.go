package platformnode

import "runtime/debug"

// Version returns the version of the main module from the build information, or
// "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
