"""Types of the callbacks passed to connections, timers and effects."""

from __future__ import annotations

from collections.abc import Callable

# Passes one input to the state machine: its name, then its arguments. An input that an effect causes
# synchronously is queued behind the one being handled.
InputHandler = Callable[..., None]
