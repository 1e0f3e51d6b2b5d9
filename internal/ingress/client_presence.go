package ingress

import "time"

// The check before an attempt begins that its client is still connected. A close can stay
// hidden for as long as bytes before it are unread, whatever keeps the reader from reading.

const (
	// maxUnseenTime is how long before an attempt its client must have been seen to be
	// connected: an attempt for a client that disconnected more than 0.1 s ago is wasted.
	maxUnseenTime = 60 * time.Millisecond
	// presenceCheckInterval is how often an attempt checks whether its client is seen again.
	presenceCheckInterval = 5 * time.Millisecond
)

// markSeen records that the client was connected at the given time.
func (c *client) markSeen(at time.Time) { c.lastSeen.Store(int64(at.Sub(c.opened))) }

// hidesClose reports whether so much is unread that a close behind it might not have arrived.
func (c *client) hidesClose() bool { return unreadBytes(c.nc) >= maxUnreadBytes }

// isPresent reports whether the client is known to be connected. It looks at the state of the
// connection if the client was not seen within maxUnseenTime before now.
func (c *client) isPresent(now time.Time) bool {
	if now.Sub(c.opened)-time.Duration(c.lastSeen.Load()) < maxUnseenTime {
		return true
	}
	// In this order: a close that arrives in between is not hidden.
	if c.hidesClose() || peerClosed(c.nc) {
		return false
	}
	c.markSeen(now)
	return true
}

// awaitPresence reports whether the client is known to be connected. It waits up to
// maxUnseenTime for that: the reader may be about to read the bytes that may hide a close.
func (c *client) awaitPresence() bool {
	for begin := time.Now(); ; time.Sleep(presenceCheckInterval) {
		now := time.Now()
		if c.isPresent(now) {
			return true
		}
		if now.Sub(begin) >= maxUnseenTime || peerClosed(c.nc) {
			return false
		}
	}
}
