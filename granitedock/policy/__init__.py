"""The decisions of granitedock, and the types by which they are called."""
