"""Types of the callbacks that connections, timers and effects are given."""

from __future__ import annotations

from collections.abc import Callable

# Hands one input to the state machine: its name, then its arguments. Inputs that effects bring about at once
# are queued behind the one being processed.
InputHandler = Callable[..., None]
