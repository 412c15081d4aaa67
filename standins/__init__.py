"""Stand-ins for what surrounds a relay: partners, the platform and clients, by their published protocol."""
