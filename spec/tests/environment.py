"""The features need no event loop."""
