"""Stand-ins for a relay's surroundings by their published protocol: destinations, platform, clients."""
