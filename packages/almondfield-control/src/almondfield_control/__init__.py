"""Replicated control state of the almondfield router fleet."""
