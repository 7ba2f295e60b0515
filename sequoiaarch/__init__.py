"""Schedule agent programs across model engines and services."""
