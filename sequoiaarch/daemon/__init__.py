"""Put a daemon together from its settings."""
