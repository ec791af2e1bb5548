// Package verdict tells whether work that did not end well may have run.
package verdict
