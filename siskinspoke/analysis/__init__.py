"""Read decision logs back into tables."""
