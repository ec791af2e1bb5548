package claim

import "time"

// Grant is a claim that won.
type Grant struct {
	Claim Claim
	// Offset is where its record is.
	Offset uint64
	// At is when the claim was asked for, on the holder's clock and with its monotonic reading.
	At time.Time
}

// Valid reports whether the holder may still act on the grant. It is asked right before each start:
// a holder that was paused finds that its time is over.
//
// Both clocks must agree. The wall clock may have been set back meanwhile, and the monotonic one
// stands still on some machines while they are suspended; a pause shows on at least one.
func (grt Grant) Valid(now time.Time, rul Rules) bool {
	return grt.validAt(now.Round(0), now.Sub(grt.At), rul)
}

func (grt Grant) validAt(wall time.Time, elapsed time.Duration, rul Rules) bool {
	left := grt.Claim.NotAfter.Sub(grt.At.Round(0)) - rul.MaxSkew
	return wall.Add(rul.MaxSkew).Before(grt.Claim.NotAfter) && elapsed < left
}
