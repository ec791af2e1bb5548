// Package hangup takes SIGHUP from the first moment of a process on.
package hangup
