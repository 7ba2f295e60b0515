"""Meet the services of the platform: log, host list and weight store."""
