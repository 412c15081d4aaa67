"""Group membership of the relays: who is alive and who has failed, by SWIM with the Lifeguard extensions."""
