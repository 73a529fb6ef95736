"""The almondfield router daemon."""
