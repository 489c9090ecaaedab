"""The adapter that runs the policy on the simulator's wire protocol."""
