"""The subjects of measurement, one module each."""
