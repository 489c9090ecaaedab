"""Plans and request classes in force while gateways run: documents, changes, control processes, followers."""
