// Command play starts real daemons on loopback beside stand-ins of the platform, the runners and the clients, carries out one case of the
// review, and judges what the stand-ins have seen. The cases' scripts start it; it is not part of the product.
package main
