// Package roundtrip estimates how long to wait for an answer before it is taken for lost.
package roundtrip
