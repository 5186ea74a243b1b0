//! Declarations: how they are stored, and how they come into force.

mod apply;
mod declarations;
mod memory;
