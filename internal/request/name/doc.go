// Package name bounds the length of names that callers, operators and other programs choose, such as those of racks, labels and services.
package name
