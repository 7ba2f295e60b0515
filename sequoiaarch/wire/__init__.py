"""Internal protocol between the processes of the system."""
