//! Availability zone decisions: membership, version floor, dissemination and duties.
