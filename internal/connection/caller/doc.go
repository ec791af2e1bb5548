// Package caller serves callers and operators over connect: it checks what they sent, maps it to
// domain types and back, and leaves every decision to the interfaces that it declares.
package caller
