"""What any front and any list source share: addresses, membership, the seam for sources."""
