"""Exhaustive exploration of small worlds with the program's own state machines (docs/model-checking.md)."""
