"""Routes, services and registered targets."""
