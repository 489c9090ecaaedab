"""Emulators of what surrounds a gateway: hosts, the counter service and discovery."""
