"""Run the decisions on the simulator's wire: python -m granitedock.benchlink."""

from granitedock.benchlink.pipe import run

if __name__ == "__main__":
    raise SystemExit(run())
