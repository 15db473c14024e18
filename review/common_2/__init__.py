"""Small stand-ins and a fleet of real nodes for the scripts of this review."""
