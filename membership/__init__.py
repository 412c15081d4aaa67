"""The relays know each other: who is there, who has failed, by SWIM with its later refinements."""
