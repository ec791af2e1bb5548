// Command rig plays one case of the second review: it starts daemons as processes, with small stand-ins for backend servers and
// clients, on loopback addresses, and judges what clients and servers see.
package main
