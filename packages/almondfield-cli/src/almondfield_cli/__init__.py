"""The almondfield operator command line."""
