"""Know the other ingress daemons and work through them."""
