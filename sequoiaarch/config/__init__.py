"""Settings, configuration documents and their validation."""
