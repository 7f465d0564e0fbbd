"""Code that every frontend and list source shares: addresses, membership, and the interfaces for sources."""
