"""Seeded soaks of real gateways: abusive clients, signals in series and small limits beside usual load."""
