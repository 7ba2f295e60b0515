"""HTTP gateway: serves callers and operators and routes calls to sidecars."""
