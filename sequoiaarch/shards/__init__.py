"""Read and append the records of programs in shards of the platform's log."""
