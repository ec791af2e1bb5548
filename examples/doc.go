// Package examples holds the catalogue files that a newcomer starts from; dev applies them.
package examples
