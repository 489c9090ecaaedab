"""The laboratory: emulators of a gateway's environment, a load generator and reports (docs/lab-design.md)."""
