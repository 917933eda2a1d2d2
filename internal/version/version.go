// Package version tells which build of the program runs.
package version

import "runtime/debug"

// Number is the version of the source tree.
const Number = "0.1.0-dev"

// String returns version number and Go version.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	return Number + " " + info.GoVersion
}
