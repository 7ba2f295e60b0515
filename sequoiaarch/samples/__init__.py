"""Run sample programs through a gateway, step by step."""
