// Package tcp asks the kernel about the other end of a TCP connection.
package tcp
