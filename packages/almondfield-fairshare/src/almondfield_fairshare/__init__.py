"""Fair sharing of pool slots between teams across the fleet."""
