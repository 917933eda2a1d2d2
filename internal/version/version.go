// Package version identifies the build of the program.
package version

import "runtime/debug"

// Number is the version of the source tree.
const Number = "0.1.0-dev"

// String returns the version number and, if the build information is available,
// the Go version.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	return Number + " " + info.GoVersion
}
