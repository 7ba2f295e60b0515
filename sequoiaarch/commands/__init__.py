"""Hold a module for each command of the command line."""
