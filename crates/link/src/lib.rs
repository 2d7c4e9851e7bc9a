//! Link decisions: connection health, snapshot deltas and the region link budget.
