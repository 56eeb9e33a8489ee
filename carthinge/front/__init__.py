"""What clients and operators call: requests read and answered, call-backs, durable jobs by name."""
