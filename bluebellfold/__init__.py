"""Balance layer-4 load with flows that carry their own routing state."""
