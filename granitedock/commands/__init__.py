"""The commands of `python -m granitedock`, a module for each party; loaded when one is called."""
