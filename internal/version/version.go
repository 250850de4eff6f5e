// Package version holds the version of primroseladder.
package version

// Version is printed by --version.
const Version = "0.1.0"
