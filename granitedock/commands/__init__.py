"""The commands of `python -m granitedock`, one module for each topic; loaded when one is called."""
