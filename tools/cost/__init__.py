"""What a request costs: one real relay process among small stand-ins, played and read from outside."""
