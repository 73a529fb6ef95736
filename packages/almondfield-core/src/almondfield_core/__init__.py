"""Data classes, ports and codecs that all almondfield packages share."""
