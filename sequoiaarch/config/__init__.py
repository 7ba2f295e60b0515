"""Read settings and configuration documents, and say what is wrong in them."""
