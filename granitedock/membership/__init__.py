"""Membership: SWIM with Lifeguard (docs/membership-design.md). Only the transport and the prober do I/O."""
