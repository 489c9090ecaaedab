"""Gateway membership: SWIM with Lifeguard (docs/membership-design.md). Only the transport does I/O."""
