"""The subjects of the scale measurements, related ones in one module."""
