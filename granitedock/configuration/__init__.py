"""Runtime configuration of plans and request classes: document, changes, control processes and followers."""
