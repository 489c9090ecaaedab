"""The decisions of granitedock, and the types with which callers exchange them."""
