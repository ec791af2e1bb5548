// Package slot accounts for the slots of backend servers that this entry instance may use: those of the servers
// assigned to it, less the lent ones, and those borrowed from other instances.
//
// It does no input or output, and picks a backend server in time that doesn't depend on the number of servers.
package slot
