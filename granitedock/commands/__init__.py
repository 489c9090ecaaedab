"""The commands of `python -m granitedock`, in a module for each topic that is imported when one is run."""
