"""Small worlds explored exhaustively through the program's own state machines (docs/model-checking.md)."""
