// Package verdict tells whether work has run, may have run or has not.
package verdict
