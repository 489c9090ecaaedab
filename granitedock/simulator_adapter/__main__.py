"""Run the policy on the simulator's wire protocol: python -m granitedock.simulator_adapter."""

from granitedock.simulator_adapter.batches import run

if __name__ == "__main__":
    raise SystemExit(run())
