"""The laboratory: emulators of the world round the gateway, a load tool and reports (docs/lab-design.md)."""
