"""What a new version takes over from the running one. Imported only where the platform lets two run side by side."""
