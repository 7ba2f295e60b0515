"""Records of programs in the log, and the rules by which readers accept them."""
