"""Emulators of the services that a gateway connects to: hosts, the counter service and discovery."""
