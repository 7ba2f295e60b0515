"""Keep the workspaces of callers apart, and within their limits."""
