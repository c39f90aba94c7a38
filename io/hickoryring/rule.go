package hickoryring

// OverflowRule says what a full ring does with a new item.
type OverflowRule uint8

// Overflow rules.
const (
	// DropNewest refuses the new item. It suits packets, which their senders
	// retransmit.
	DropNewest OverflowRule = iota
	// DropOldest removes the oldest item to make room for the new one. It suits
	// items of which the newest matters most.
	DropOldest
	// Wait blocks the sender until the ring has room.
	Wait
)
